package load

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/model"
)

const (
	// resendDelay is the time before a call without an answer is sent again.
	resendDelay = 100 * time.Millisecond
	// pollInterval is the time between two queries for the state of a job.
	pollInterval = 250 * time.Millisecond
	// deadlineGrace is how long after its deadline a caller still waits for the
	// answer.
	deadlineGrace = 5 * time.Second
)

// Driver sends scheduled arrivals as open-loop load: each is sent at its time,
// whether or not earlier ones have been answered.
type Driver struct {
	Caller Caller
	Tally  *Tally
	// Body returns the request body that makes a worker run for a time and return an
	// answer of a size.
	Body func(run time.Duration, answerBytes int) []byte
}

// Run sends the schedule and returns when every caller has its answer or has given
// up. It sends no further requests once ctx is done.
func (d *Driver) Run(ctx context.Context, schedule []Arrival) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range schedule {
		a := &schedule[i]
		if !sleepUntil(ctx, start.Add(a.At)) {
			return
		}
		wg.Go(func() { d.sendOne(start.Add(a.At), a) })
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// sendOne sends one arrival until it has an outcome, and counts the outcome. The
// latency counts from the planned time of sending.
func (d *Driver) sendOne(planned time.Time, a *Arrival) {
	call := Call{
		Key:      NewKey(),
		Spec:     a.Spec,
		Deadline: time.Now().Add(a.Spec.Deadline),
		Body:     d.Body(a.RunTime, a.Spec.AnswerBytes),
	}
	d.Tally.AddSent(a.Spec.Kind)
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(deadlineGrace))
	defer cancel()
	reply, ok := d.sendUntilAnswered(ctx, call)
	d.Tally.AddAnswer(Answer{
		Key: call.Key, Kind: a.Spec.Kind, Outcome: reply.Outcome, Reason: reply.Reason, Lost: !ok,
		Idempotent: a.Spec.Idempotent, Members: a.Spec.Members, At: a.At, Latency: time.Since(planned),
	})
}

// sendUntilAnswered sends the call, resends it under the same key if no answer is
// received, and polls an accepted job until it has ended.
func (d *Driver) sendUntilAnswered(ctx context.Context, call Call) (Reply, bool) {
	for ctx.Err() == nil {
		reply, err := d.Caller.Send(ctx, call)
		switch {
		case err != nil:
			sleep(ctx, resendDelay)
		case reply.Accepted:
			return d.pollUntilEnded(ctx, call)
		case reply.Reason == model.ReasonNotRecorded:
			sleep(ctx, max(reply.RetryAfter, resendDelay))
		default:
			return reply, true
		}
	}
	return Reply{}, false
}

func (d *Driver) pollUntilEnded(ctx context.Context, call Call) (Reply, bool) {
	for ctx.Err() == nil {
		sleep(ctx, pollInterval)
		reply, err := d.Caller.Status(ctx, call.Spec.Account, call.Key)
		if err == nil && !reply.Accepted {
			return reply, true
		}
	}
	return Reply{}, false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// NewKey returns a new idempotency key that contains its time of creation.
func NewKey() model.Key {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return model.Key(id.String())
}
