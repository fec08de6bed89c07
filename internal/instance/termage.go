package instance

import (
	"log/slog"
	"time"
)

// reportUnstoredTerm logs when the store begins and ends to leave the owned term without a
// stored renewal. i.termMu must be held.
func (i *Instance) reportUnstoredTerm() {
	since, owned := i.term.SinceStored(boottime())
	unstored := owned && since > i.Settings.Term.QueryPeersAfter
	if unstored != i.termUnstored {
		evTermUnstored.Log(i.ctx, i.logger, slog.Bool("begin", unstored), slog.Duration("unstored", max(since, i.termStoredAge)))
	}
	i.termUnstored, i.termStoredAge = unstored, 0
	if owned {
		i.termStoredAge = since
	}
}

// sinceTermStored returns how long ago the latest stored renewal of the owned term was sent, 0
// if this instance owns none.
func (i *Instance) sinceTermStored() time.Duration {
	i.termMu.Lock()
	defer i.termMu.Unlock()
	since, owned := i.term.SinceStored(boottime())
	if !owned {
		return 0
	}
	return since
}
