package load

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/model"
)

const (
	// resendPause is the pause before a caller that got no answer asks again.
	resendPause = 100 * time.Millisecond
	// pollPause is the pause between two looks at a job.
	pollPause = 250 * time.Millisecond
	// graceAfterDeadline is how much longer than its deadline a caller listens.
	graceAfterDeadline = 5 * time.Second
)

// Driver sends a schedule of arrivals as open-loop load: each is sent at its
// time, whether or not earlier ones are answered.
type Driver struct {
	Caller Caller
	Tally  *Tally
	// Body makes the body that asks a worker for a run time and an answer.
	Body func(run time.Duration, answerBytes int) []byte
}

// Run sends the schedule and returns when every caller has its answer or has
// given up. Ending ctx stops the sending of more.
func (d *Driver) Run(ctx context.Context, schedule []Arrival) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range schedule {
		a := &schedule[i]
		if !sleepUntil(ctx, start.Add(a.At)) {
			return
		}
		wg.Go(func() { d.one(start.Add(a.At), a) })
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

// one is one caller's whole story. Its time counts from the planned sending.
func (d *Driver) one(planned time.Time, a *Arrival) {
	call := Call{
		Key:      NewKey(),
		Spec:     a.Spec,
		Deadline: time.Now().Add(a.Spec.Deadline),
		Body:     d.Body(a.RunTime, a.Spec.AnswerBytes),
	}
	d.Tally.AddSent(a.Spec.Kind)
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(graceAfterDeadline))
	defer cancel()
	told, ok := d.untilAnswered(ctx, call)
	d.Tally.AddAnswer(Answer{
		Key: call.Key, Kind: a.Spec.Kind, Outcome: told.Outcome, Reason: told.Reason, Lost: !ok,
		Idempotent: a.Spec.Idempotent, Members: a.Spec.Members, At: a.At, Latency: time.Since(planned),
	})
}

// untilAnswered sends the call, again under the same key when no answer comes,
// and for a job asks until it has ended.
func (d *Driver) untilAnswered(ctx context.Context, call Call) (Reply, bool) {
	for ctx.Err() == nil {
		told, err := d.Caller.Send(ctx, call)
		switch {
		case err != nil:
			rest(ctx, resendPause)
		case told.Accepted:
			return d.untilEnded(ctx, call)
		case told.Reason == model.ReasonNotRecorded:
			rest(ctx, max(told.RetryAfter, resendPause))
		default:
			return told, true
		}
	}
	return Reply{}, false
}

func (d *Driver) untilEnded(ctx context.Context, call Call) (Reply, bool) {
	for ctx.Err() == nil {
		rest(ctx, pollPause)
		told, err := d.Caller.Status(ctx, call.Spec.Account, call.Key)
		if err == nil && !told.Accepted {
			return told, true
		}
	}
	return Reply{}, false
}

func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// NewKey makes an idempotency key that carries the time of its making.
func NewKey() model.Key {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return model.Key(id.String())
}
