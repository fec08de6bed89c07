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
	i.members.silent = make(map[string]time.Duration)
	i.members.set([]string{"a:1", "b:1"}, nil, "c:1")
	ctx, cancel := context.WithCancel(t.Context())
	i.noteAnswer(ctx, "a:1", external.ErrOutcomeUnknown)
	cancel()
	i.noteAnswer(ctx, "b:1", external.ErrOutcomeUnknown)
	if got := i.members.best(boottime(), ""); !slices.Equal(got, []string{"b:1", "a:1"}) {
		t.Errorf("order %v, want the one that did not answer last", got)
	}
}
