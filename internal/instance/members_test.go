package instance

import (
	"context"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

// A record that was answered while its owner was being asked made the owner count as
// silent, and it was tried last for 3 s.
func TestCallThatIsGivenUpSaysNothingOfAPeer(t *testing.T) {
	i := &Instance{}
	i.members.lastFailure = make(map[string]time.Duration)
	i.members.set([]string{"a:1", "b:1"}, nil, "c:1")
	ctx, cancel := context.WithCancel(t.Context())
	i.recordPeerAnswer(ctx, "a:1", external.ErrOutcomeUnknown)
	cancel()
	i.recordPeerAnswer(ctx, "b:1", external.ErrOutcomeUnknown)
	if got := i.members.candidates(boottime(), ""); !slices.Equal(got, []string{"b:1", "a:1"}) {
		t.Errorf("order %v, want the one that did not answer last", got)
	}
}
