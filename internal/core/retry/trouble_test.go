package retry

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

func worker(n int) external.WorkerID { return external.WorkerID(fmt.Sprintf("w%04d", n)) }

func TestFailuresOfATaskOfItsOwnAreNoTrouble(t *testing.T) {
	p := &Pool{}
	for n := range 100 { // one failure a second, each on another worker
		p.Failed(time.Duration(n+1)*1100*time.Millisecond, worker(n), 1100)
	}
	for range 50 { // one worker alone
		p.Failed(200*time.Second, worker(0), 1100)
	}
	if p.InFailureBurst(200 * time.Second) {
		t.Error("single failures count as trouble of the pool")
	}
}

func TestManyWorkersThatFailAreTroubleUntilTheyAreCalm(t *testing.T) {
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
			t.Errorf("troubled at %v: %v", c.at, got)
		}
	}
}

func TestOnlyWhatWasStartedSinceProvesAWorker(t *testing.T) {
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
		t.Errorf("before the trouble %v, since %v, failed after %v", p.IsProven(old), p.IsProven(fresh), p.IsProven(failed))
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
		{"a second try after its wait", Task{Failures: 1, MaxTries: 3}, nextTry, false},
		{"the last try after as long", Task{Failures: 2, MaxTries: 3}, nextTry, true},
		{"the last try after its wait", Task{Failures: 2, MaxTries: 3}, lastTry, false},
	} {
		c.task.FailedAt = 10 * time.Second
		if got := p.NeedsProvenWorker(10*time.Second+c.after, c.task); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestATaskAloneDoesNotWaitForLong: with nothing else in the pool no worker can get on. A
// task may have nothing running for less than 3 s while there is room.
func TestATaskAloneDoesNotWaitForLong(t *testing.T) {
	p := &Pool{}
	for n := range 10 {
		p.Failed(10*time.Second, worker(n), 48)
	}
	last := Task{Failures: 2, MaxTries: 3, FailedAt: 10 * time.Second}
	if p.NeedsProvenWorker(13*time.Second, last) {
		t.Error("the last try still waits 3 s after the last failure in the pool")
	}
}
