package shed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/job"
)

const ms = time.Millisecond

// TestLessUrgentJobsAreRefusedFirst checks that no job is refused while a less urgent one is accepted, and
// that the part that is refused is the one that the level names.
func TestLessUrgentJobsAreRefusedFirst(t *testing.T) {
	const jobs, priorities = 2000, 3
	for _, level := range []Level{0, 30, 100, 150, 200, 270, 300} {
		refused := make([]int, priorities)
		for n := range jobs {
			for rank := range priorities {
				if level.Refuses(job.ID(fmt.Sprintf("%016x", n)), rank) {
					refused[rank]++
				}
			}
		}
		for rank, got := range refused {
			want := min(max(int(level)-100*rank, 0), 100) * jobs / 100
			if got < want-jobs/20 || got > want+jobs/20 {
				t.Errorf("level %d: %d of %d jobs of rank %d refused, want about %d", level, got, jobs, rank, want)
			}
		}
	}
}

// TestLevelFollowsTheDelay checks that nothing is refused while starts are prompt, all of the least urgent
// jobs are before one has stood for 3 s, and the level falls once starts are prompt again.
func TestLevelFollowsTheDelay(t *testing.T) {
	c := NewController(0, 0)
	now := time.Duration(0)
	step := func(delay time.Duration) Level {
		now += 50 * ms
		return c.Step(now, delay, 3)
	}
	for range 100 {
		if l := step(500 * ms); l != 0 {
			t.Fatalf("level %d with prompt starts", l)
		}
	}
	for delay := time.Duration(0); delay <= 2*time.Second; delay += 50 * ms {
		step(delay)
	}
	if l := step(2 * time.Second); l < whole || l > 2*whole {
		t.Errorf("level %d after 2 s", l)
	}
	if l := step(time.Minute); l != 3*whole {
		t.Errorf("level %d after a minute", l)
	}
	began := now
	for step(0) > 0 && now < began+time.Minute {
	}
	if now-began < 10*time.Second || now-began > 40*time.Second {
		t.Errorf("nothing is refused any more after %v", now-began)
	}
}

// TestRefusedJobsComeBackOneAfterTheOther checks that a refused job is asked to wait until the level may have
// fallen to its share.
func TestRefusedJobsComeBackOneAfterTheOther(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		id := job.ID(fmt.Sprintf("%016x", rapid.Uint64().Draw(rt, "id")))
		rank := rapid.IntRange(0, 2).Draw(rt, "rank")
		level := Level(rapid.IntRange(0, 300).Draw(rt, "level"))
		wait := level.RetryAfter(id, rank)
		if wait < minRetryAfter {
			rt.Fatalf("retry after %v", wait)
		}
		c := NewController(0, level)
		later := level
		for now := time.Duration(0); now <= wait; now += 50 * ms {
			later = c.Step(now, 0, 3)
		}
		if level.Refuses(id, rank) && later.Refuses(id, rank) && later < level-1 && wait > minRetryAfter {
			rt.Fatalf("level %d, still refused at %d after %v", level, later, wait)
		}
	})
}
