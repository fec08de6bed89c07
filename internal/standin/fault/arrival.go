package fault

import (
	"context"
	"time"
)

type arrivalKey struct{}

// withArrival stores the arrival time of a request in its context.
func withArrival(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// SinceArrival returns the time from the arrival of ctx's request until now, or 0
// if ctx belongs to no request.
func SinceArrival(ctx context.Context, now time.Time) time.Duration {
	at, ok := ctx.Value(arrivalKey{}).(time.Time)
	if !ok {
		return 0
	}
	return now.Sub(at)
}
