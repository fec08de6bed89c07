package fault

import (
	"context"
	"time"
)

type arrivalKey struct{}

// arrived notes in ctx when a request came in.
func arrived(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// SinceArrival gives how long before now the request of ctx came in, 0 when ctx
// belongs to no request.
func SinceArrival(ctx context.Context, now time.Time) time.Duration {
	at, ok := ctx.Value(arrivalKey{}).(time.Time)
	if !ok {
		return 0
	}
	return now.Sub(at)
}
