package instance

import (
	"context"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

// A question to the owner was cancelled when the record that it was about was confirmed. The
// owner then counted as not answering, and was tried last for 3 s.
func TestCancelledCallDoesNotDemoteAPeer(t *testing.T) {
	i := &Instance{}
	i.members.lastFailure = make(map[string]time.Duration)
	i.members.set(nil, []string{"a:1", "b:1"}, "c:1")
	ctx, cancel := context.WithCancel(t.Context())
	i.recordPeerAnswer(ctx, "a:1", external.ErrOutcomeUnknown)
	cancel()
	i.recordPeerAnswer(ctx, "b:1", external.ErrOutcomeUnknown)
	if got := i.members.candidates(boottime(), ""); !slices.Equal(got, []string{"b:1", "a:1"}) {
		t.Errorf("order %v, want the one that did not answer last", got)
	}
}
