package retry

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

func worker(n int) external.WorkerID { return external.WorkerID(fmt.Sprintf("w%04d", n)) }

func TestSingleFailuresAreNoFailureBurst(t *testing.T) {
	p := &Pool{}
	for n := range 100 { // one failure a second, each on another worker
		p.Failed(time.Duration(n+1)*1100*time.Millisecond, worker(n), 1100)
	}
	for range 50 { // one worker alone
		p.Failed(200*time.Second, worker(0), 1100)
	}
	if p.InFailureBurst(200 * time.Second) {
		t.Error("single failures count as a burst")
	}
}

func TestFailuresOfManyWorkersAreABurstUntilTheyEnd(t *testing.T) {
	p := &Pool{}
	for n := range 10 {
		p.Failed(10*time.Second+time.Duration(n)*20*time.Millisecond, worker(n), 1100)
	}
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{
		{10*time.Second + 200*time.Millisecond, true},
		{12500 * time.Millisecond, true},
		{13 * time.Second, false},
	} {
		if got := p.InFailureBurst(c.at); got != c.want {
			t.Errorf("in a burst at %v: %v", c.at, got)
		}
	}
}

func TestOnlyRunsStartedSinceTheBurstProveAWorker(t *testing.T) {
	p := &Pool{}
	for n := range 10 {
		p.Failed(10*time.Second, worker(n), 1100)
	}
	old, fresh, failed := &WorkerHistory{}, &WorkerHistory{}, &WorkerHistory{}
	old.MadeProgress(9 * time.Second)
	fresh.MadeProgress(11 * time.Second)
	failed.MadeProgress(11 * time.Second)
	failed.Failed(12 * time.Second)
	if p.IsProven(old) || !p.IsProven(fresh) || p.IsProven(failed) {
		t.Errorf("before the burst %v, since %v, failed after %v", p.IsProven(old), p.IsProven(fresh), p.IsProven(failed))
	}
}

func TestTheLastTryWaitsLongerForAProvenWorker(t *testing.T) {
	p := &Pool{}
	for n := range 10 {
		p.Failed(10*time.Second, worker(n), 1100)
	}
	for _, c := range []struct {
		name  string
		task  Task
		after time.Duration
		want  bool
	}{
		{"a first try", Task{MaxTries: 3}, 0, false},
		{"a second try at once", Task{Failures: 1, MaxTries: 3}, 0, true},
		{"a second try after its wait", Task{Failures: 1, MaxTries: 3}, provenWorkerWait, false},
		{"the last try after the same wait", Task{Failures: 2, MaxTries: 3}, provenWorkerWait, true},
		{"the last try after its wait", Task{Failures: 2, MaxTries: 3}, lastTryWait, false},
	} {
		c.task.FailedAt = 10 * time.Second
		if got := p.NeedsProvenWorker(10*time.Second+c.after, c.task); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestSingleTaskDoesNotWaitForLong covers a task that is alone in the pool, so that no
// worker can be proven. While there is room, a task may be without a run for less than
// 3 s.
func TestSingleTaskDoesNotWaitForLong(t *testing.T) {
	p := &Pool{}
	for n := range 10 {
		p.Failed(10*time.Second, worker(n), 48)
	}
	last := Task{Failures: 2, MaxTries: 3, FailedAt: 10 * time.Second}
	if p.NeedsProvenWorker(13*time.Second, last) {
		t.Error("the last try still waits 3 s after the last failure in the pool")
	}
}
