package external

import "context"

type progressKey struct{}

// WithProgress returns a context for calls that may transfer much. A client calls f,
// from the goroutine of the call, each time a part of the answer has arrived.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ReportProgress tells the caller that set WithProgress, if any, that a part of the
// answer has arrived.
func ReportProgress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}
