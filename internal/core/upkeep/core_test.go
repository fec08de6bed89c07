package upkeep

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testUpkeepTime = 2 * time.Second

func TestWaveTakesIdleMachinesFirstAndEndsInTime(t *testing.T) {
	c := New(0, testUpkeepTime)
	w := Wave{Number: 1, Machines: []string{"a", "b", "c", "d"}, Duration: 20 * time.Second, MaxDown: 1}
	c.Add(0, w)
	known := []Machine{{Name: "a", RunCount: 3, LossCoreSeconds: 90}, {Name: "b"}, {Name: "c", RunCount: 1, LossCoreSeconds: 10}, {Name: "d"}}
	var order []string
	var completeAt time.Duration
	for now := time.Duration(0); now < 40*time.Second && completeAt == 0; now += 100 * time.Millisecond {
		for _, a := range c.Step(now, now.Milliseconds(), known) {
			switch a := a.(type) {
			case Order:
				order = append(order, a.Machine)
				c.Answered(now, a, Begun)
				for n := range known {
					if known[n].Name == a.Machine {
						known[n].WorkerStartedMS = (now + testUpkeepTime).Milliseconds()
					}
				}
			case Report:
				if a.Complete {
					completeAt = now
				}
			}
		}
	}
	if fmt.Sprint(order) != "[b d c a]" {
		t.Errorf("order %v", order)
	}
	if completeAt == 0 || completeAt > w.Duration {
		t.Errorf("complete at %v", completeAt)
	}
}

func TestMachineWithProtectedTasksWaits(t *testing.T) {
	c := New(0, testUpkeepTime)
	c.Add(0, Wave{Number: 1, Machines: []string{"a"}, Duration: 4 * time.Second, MaxDown: 1})
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for _, a := range c.Step(now, 0, []Machine{{Name: "a", RunCount: 1, Protected: true}}) {
			if _, ok := a.(Order); ok {
				t.Fatal("ordered")
			}
		}
	}
}

// An owner that took over in the middle of a wave counted no machine as down. If a machine that
// stood before the one under upkeep had become idle, it was ordered at once.
func TestNewOwnerWaitsForTheMachinesOfThePreviousOne(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"a", "b"}, Duration: 60 * time.Second, MaxDown: 1}
	first := New(0, testUpkeepTime)
	first.Add(0, w)
	ordered, at := "", time.Duration(0)
	for ; ordered == ""; at += 200 * time.Millisecond {
		if at > 20*time.Second {
			t.Fatal("nothing ordered")
		}
		for _, a := range first.Step(at, at.Milliseconds(), []Machine{{Name: "a", RunCount: 1, LossCoreSeconds: 5, WorkerStartedMS: 1}, {Name: "b", WorkerStartedMS: 1}}) {
			if o, ok := a.(Order); ok {
				ordered = o.Machine
			}
		}
	}
	if ordered != "b" {
		t.Fatalf("%s was ordered, want the idle machine", ordered)
	}
	back := at + testUpkeepTime
	next := New(at, testUpkeepTime)
	next.Add(at, w)
	for now := at; now < back; now += 200 * time.Millisecond {
		for _, a := range next.Step(now, now.Milliseconds(), []Machine{{Name: "a", WorkerStartedMS: 1}}) {
			if o, ok := a.(Order); ok {
				t.Fatalf("%s ordered %v before b is back, and one machine may be down", o.Machine, back-now)
			}
		}
	}
}

// TestWavesKeepToMaxDown simulates lost, late and refusing answers.
func TestWavesKeepToMaxDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(0, testUpkeepTime)
		limit := rapid.IntRange(1, 3).Draw(t, "max down")
		names := []string{"a", "b", "c", "d", "e"}
		c.Add(0, Wave{Number: 7, Machines: names, Duration: 30 * time.Second, MaxDown: limit})
		downUntil := make(map[string]time.Duration)
		startedMS := make(map[string]int64)
		complete := false
		for now := time.Duration(0); now < 400*time.Second && !complete; now += 200 * time.Millisecond {
			var known []Machine
			for _, n := range names {
				m := Machine{Name: n}
				if downUntil[n] != 0 && now >= downUntil[n] {
					m.WorkerStartedMS = startedMS[n]
				}
				known = append(known, m)
			}
			for _, a := range c.Step(now, now.Milliseconds(), known) {
				switch a := a.(type) {
				case Order:
					r := Result(rapid.IntRange(0, 3).Draw(t, "result"))
					began := r == Begun || (r == OutcomeUnknown && rapid.Bool().Draw(t, "executed"))
					if began && downUntil[a.Machine] == 0 {
						down := 0
						for _, until := range downUntil {
							if now < until {
								down++
							}
						}
						if down >= limit {
							t.Fatalf("%d machines are down already", down)
						}
						downUntil[a.Machine] = now + testUpkeepTime
						startedMS[a.Machine] = downUntil[a.Machine].Milliseconds()
					}
					if r == NotFound && downUntil[a.Machine] != 0 {
						r = Begun // the machine has begun, so it exists
					}
					c.Answered(now, a, r)
				case Report:
					complete = a.Complete
				}
			}
		}
		if !complete {
			t.Fatal("never complete")
		}
	})
}
