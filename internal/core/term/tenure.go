package term

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/witness"
)

const (
	// maxWitnessSilence is how long an instance that does not answer stays a witness if no other can
	// replace it.
	maxWitnessSilence = 10 * time.Second
	// maxUnanswered is how long an owner goes on naming witnesses if no instance answers it.
	maxUnanswered = 2 * witnessCheckInterval
)

// tenure is what an owner knows of its term in the store and at the witnesses.
type tenure struct {
	// storedRenewal is the latest renewal that is known to be stored, storedAt when it was
	// sent, and witnesses are those that it names.
	storedRenewal int64
	storedAt      time.Duration
	witnesses     []Witness
	// answeredAt is when the store last confirmed a renewal.
	answeredAt time.Duration
	// proposed are the witnesses that later renewals name; nil if they name the same. Until
	// such a renewal is known to be stored, either record may be the latest.
	proposed []Witness
	// proposalSent says that a renewal that names the proposed ones was sent.
	proposalSent bool
	// promises holds when each witness was last asked that has promised.
	promises map[witness.ID]time.Duration
	// silentSince holds since when a witness has not answered, by address.
	silentSince map[string]time.Duration
	// gainedAt is when the term was gained.
	gainedAt time.Duration
	// handovers is Record.Handovers of the claim.
	handovers int64
	// unansweredSince is since when no instance has answered a check; unanswered says that it is so.
	unansweredSince time.Duration
	unanswered      bool
	// answered is the number of instances that have answered the latest check, since answeredSince, and
	// checkedAt is when it last said so.
	answered                 int
	answeredSince, checkedAt time.Duration
	// nextCheck is when the witnesses are next checked.
	nextCheck time.Duration
}

// newTenure returns the tenure of a term whose claim was sent at the given time.
func newTenure(claimedAt time.Duration) tenure {
	return tenure{storedAt: claimedAt, promises: make(map[witness.ID]time.Duration), silentSince: make(map[string]time.Duration)}
}

// confirmedNow reports whether the store confirms a renewal at the time now.
func (t *tenure) confirmedNow(now time.Duration) bool {
	return t.answeredAt != 0 && t.answeredAt == now
}

// named returns the witnesses that the next renewal names.
func (t *tenure) named() []Witness {
	if t.proposed != nil {
		return t.proposed
	}
	return t.witnesses
}

// stored records that a renewal is stored.
func (t *tenure) stored(r Record) {
	if r.Renewal < t.storedRenewal {
		return
	}
	t.storedRenewal, t.witnesses = r.Renewal, r.Witnesses
	if slices.Equal(r.Witnesses, t.proposed) {
		t.proposed = nil
	}
}

// checked has later renewals name the witnesses that have answered, and others that have in
// place of silent ones. Without a replacement, a silent witness stays for maxWitnessSilence: the
// fewer witnesses there are, the more a claim depends on each of them. An owner that nobody answers for
// maxUnanswered names none, so that other instances judge it.
func (t *tenure) checked(now time.Duration, answered []Witness) {
	t.recordAnswers(now, len(answered))
	if t.proposed != nil && t.proposalSent {
		return
	}
	chosen, silent := t.choose(now, answered)
	if t.unanswered && now-t.unansweredSince >= maxUnanswered {
		silent = nil
	}
	for _, w := range slices.Concat(answered, silent) {
		if len(chosen) < witness.MaxWitnesses && !slices.ContainsFunc(chosen, sameAs(w)) {
			chosen = append(chosen, w)
		}
	}
	slices.SortFunc(chosen, byAddr)
	t.proposed, t.proposalSent = nil, false
	if !slices.Equal(chosen, t.witnesses) {
		t.proposed = append([]Witness{}, chosen...) // not nil
	}
}

// recordAnswers records how many instances have answered a check.
func (t *tenure) recordAnswers(now time.Duration, n int) {
	if n == 0 && !t.unanswered {
		t.unansweredSince = now
	}
	t.unanswered = n == 0
	if n != t.answered || t.checkedAt == 0 {
		t.answered, t.answeredSince = n, now
	}
	t.checkedAt = now
}

// choose returns the present witnesses that have answered, perhaps as a later incarnation, and those
// that have been silent for less than maxWitnessSilence.
func (t *tenure) choose(now time.Duration, answered []Witness) (chosen, silent []Witness) {
	for _, w := range t.witnesses {
		if at := slices.IndexFunc(answered, atAddr(w.Addr)); at >= 0 {
			if !slices.ContainsFunc(chosen, sameAs(answered[at])) {
				chosen = append(chosen, answered[at])
			}
			delete(t.silentSince, w.Addr)
			continue
		}
		if _, ok := t.silentSince[w.Addr]; !ok {
			t.silentSince[w.Addr] = now
		}
		if now-t.silentSince[w.Addr] < maxWitnessSilence {
			silent = append(silent, w)
		}
	}
	return chosen, silent
}

// asked returns the witnesses whose promises count.
func (t *tenure) asked() []Witness {
	out := slices.Clone(t.witnesses)
	for _, w := range t.proposed {
		if !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}

// promisedAt returns the latest time such that enough witnesses have promised who were asked then
// or later; 0 if there is none.
func (t *tenure) promisedAt() time.Duration {
	at := t.promisedBy(t.witnesses)
	if t.proposed != nil {
		at = min(at, t.promisedBy(t.proposed))
	}
	return at
}

func (t *tenure) promisedBy(ws []Witness) time.Duration {
	var asked []time.Duration
	for _, w := range ws {
		if at, ok := t.promises[w.ID]; ok {
			asked = append(asked, at)
		}
	}
	need := witness.Promises(len(ws))
	if len(ws) == 0 || len(asked) < need {
		return 0
	}
	slices.Sort(asked)
	return asked[len(asked)-need]
}
