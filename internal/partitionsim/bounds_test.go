package partitionsim

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/fitness"
	"coltsfootmux/internal/core/term"
)

// recoverWithin is the platform's bound on the time after which accepted work goes on
// (recover_s). Each test of progress uses it.
const recoverWithin = 12 * time.Second

// Times of the cores and their shells of which recovery consists, as in these packages.
const (
	// usualCallTime is how long a call to the store, a peer or a worker takes at most as a rule: a longer
	// one to the store is sent again.
	usualCallTime = 300 * time.Millisecond
	// maxClaimDelay is the longest claim delay of an instance.
	maxClaimDelay = 800 * time.Millisecond
	// workerSilence is how long a hold of a worker goes unanswered (core/cell).
	workerSilence = 1800*time.Millisecond + orderTimeout
	// poorTime and confirmDelay are those of core/fitness.
	poorTime     = time.Second
	confirmDelay = 300 * time.Millisecond
	// ownerCheckInterval, ownerSilence and voteTenure are those of core/confidence and core/term.
	ownerCheckInterval = time.Second
	ownerSilence       = 3 * time.Second
	voteTenure         = 5 * time.Second
)

// recoveries holds, by fault, the sum of the times until work goes on.
func recoveries() map[string]time.Duration {
	t := term.DefaultSettings()
	// The claim, the fence, the stored state, a hold and a start.
	takeOver := 5 * usualCallTime
	release := 2 * usualCallTime // written and read
	probes := poorTime + reachAskTimeout + confirmDelay + reachAskTimeout + t.RenewInterval
	votes := askTimeout + askTimeout + 2*usualCallTime // the last check, others asked, votes written and read
	claim := t.RenewInterval + t.StaleAfter + maxClaimDelay
	return map[string]time.Duration{
		"an owner reaches few workers":                   workerSilence + reachInterval + probes + release + takeOver,
		"the next owner reaches few workers":             takeOver + max(fitness.MinTenure(0), workerSilence+reachInterval) + probes + release + takeOver,
		"an owner does not answer":                       ownerCheckInterval + ownerSilence + votes + release + maxClaimDelay + takeOver + statusInterval,
		"the next owner does not answer":                 takeOver + max(voteTenure, ownerCheckInterval+ownerSilence) + votes + release + maxClaimDelay + takeOver + statusInterval,
		"the owner and most of its witnesses are lost":   claim + t.StartLimit + t.StartLimit/10 + takeOver,
		"the owner is lost after its witnesses promised": claim + t.StaleAfter + takeOver,
	}
}

// TestRecoveryFitsIntoTheTarget guards against intervals and limits of the cores that add up to more than
// the platform allows.
func TestRecoveryFitsIntoTheTarget(t *testing.T) {
	for fault, d := range recoveries() {
		t.Logf("%v: %s", d, fault)
		if d > recoverWithin {
			t.Errorf("%s: work goes on after %v", fault, d)
		}
	}
}
