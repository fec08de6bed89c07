package term

import (
	"testing"
	"time"
)

// TestClaimAllowsForEarlierOwners gives for how long the record of a claim says that earlier owners may
// renew leases.
func TestClaimAllowsForEarlierOwners(t *testing.T) {
	s := DefaultSettings()
	atMost := byAnyClock(s.KeepLimit+s.ConfirmTimeout) + earlierOwnerMargin
	startLimitOver := byAnyClock(s.StartLimit) + s.StaleAfter
	for name, c := range map[string]struct {
		witnesses int
		consents  []int
		change    func(r *Record)
		// claimed is when the claim is made, and allows how long earlier owners may go on from then.
		claimed, allows time.Duration
	}{
		"the owner has no witnesses":                 {0, nil, nil, s.StaleAfter, 0},
		"enough witnesses consent":                   {5, []int{1, 2}, nil, s.StaleAfter, 0},
		"too few witnesses consent":                  {5, []int{1}, nil, startLimitOver, atMost - startLimitOver},
		"no witness consents":                        {5, nil, nil, startLimitOver, atMost - startLimitOver},
		"the owner starts tasks for longer":          {5, nil, func(r *Record) { r.StartLimit = 10 * time.Second }, 12500 * time.Millisecond, atMost - 12500*time.Millisecond},
		"the owner is of a version without a limit":  {5, nil, func(r *Record) { r.StartLimit = 0 }, 23500 * time.Millisecond, atMost - 23500*time.Millisecond},
		"the term is released":                       {5, nil, func(r *Record) { r.Released = true }, 0, 0},
		"the term before it was kept":                {5, []int{1, 2}, func(r *Record) { r.EarlierOwners = 15 * time.Second }, s.StaleAfter, 15*time.Second - s.StaleAfter},
		"the terms before it were kept for longer":   {5, nil, func(r *Record) { r.EarlierOwners = time.Minute }, startLimitOver, time.Minute - startLimitOver},
		"the term before was kept, this is released": {5, nil, func(r *Record) { r.Released, r.EarlierOwners = true, 15*time.Second }, 0, 15 * time.Second},
		"the term before it was kept until now":      {0, nil, func(r *Record) { r.EarlierOwners = time.Second }, s.StaleAfter, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := Record{Term: 1, Owner: "node-0/1", Addr: "10.0.0.0:1", Renewal: 3, StartLimit: s.StartLimit}
			for w := range c.witnesses {
				r.Witnesses = append(r.Witnesses, testWitness(w+1))
			}
			if c.change != nil {
				c.change(&r)
			}
			f := &fakeStore{records: []Record{r}}
			b := newContender(9)
			b.core = New(s, "node-9/1", "10.0.0.9:1")
			const read = time.Second
			b.readAll(read, f)
			for _, w := range c.consents {
				b.step(read, Consented{Witness: testWitness(w).ID, Term: 1, Renewal: 3})
			}
			now := read
			for ; now < time.Minute && len(b.pending) == 0; now += 10 * time.Millisecond {
				b.step(now, Tick{})
			}
			if len(b.pending) == 0 {
				t.Fatal("not claimed")
			}
			claim, at := b.pending[0].Record, b.sentAt[0]-read
			late := at - c.claimed
			if late < 0 || late > otherClaimDelay {
				t.Errorf("claimed after %v, want %v", at, c.claimed)
			}
			if want := max(0, c.allows-late); claim.EarlierOwners != want {
				t.Errorf("allows earlier owners %v, want %v", claim.EarlierOwners, want)
			}
		})
	}
}

// TestLaterOwnersCountEarlierOnesDown guards against a chain of owners that forgets the first of them,
// or that waits for it for longer with each renewal, as each takes a while.
func TestLaterOwnersCountEarlierOnesDown(t *testing.T) {
	const latency = 200 * time.Millisecond
	f := &fakeStore{records: []Record{{Term: 1, Owner: "node-0/1", Addr: "10.0.0.0:1", EarlierOwners: 10 * time.Second}}}
	now, began := time.Second, time.Second
	end := began + 10*time.Second
	for n := 1; n < 5; n++ {
		o := newContender(n)
		o.readAll(now, f)
		renewed := 0
		for ; renewed < 3; now += 50 * time.Millisecond {
			o.step(now, Tick{})
			for len(o.pending) > 0 && now-o.sentAt[0] >= latency {
				before := len(f.records)
				o.answer(now, f)
				if len(f.records) > before && len(o.gained) > 0 && f.records[before].Renewal > 0 {
					renewed++
				}
			}
		}
		left := f.records[len(f.records)-1].EarlierOwners
		if want := end - now; left < want || left > max(0, want)+time.Duration(n)*4*latency {
			t.Errorf("owner %d: its record allows earlier owners %v, want %v or little more", n, left, want)
		}
	}
}

// TestConsentsAfterAClaimShortenTheAllowance gives for how long a new owner allows for earlier ones once
// witnesses of the record before have consented, and guards against forgetting still earlier owners.
func TestConsentsAfterAClaimShortenTheAllowance(t *testing.T) {
	s := DefaultSettings()
	const after = 1100 * time.Millisecond // from the claim to the consents
	soon := byAnyClock(s.ConfirmTimeout) - s.StaleAfter + s.StaleAfter/clockTolerance + earlierOwnerMargin
	claimAfter := byAnyClock(s.StartLimit) + s.StaleAfter
	atMost := byAnyClock(s.KeepLimit+s.ConfirmTimeout) + earlierOwnerMargin - claimAfter - after
	for name, c := range map[string]struct {
		before, later []int
		renewal       int64
		earlier       time.Duration
		allows        time.Duration
	}{
		"none consents":                        {nil, nil, 3, 0, atMost},
		"one consents":                         {nil, []int{1}, 3, 0, atMost},
		"the same one consents again":          {[]int{1}, []int{1}, 3, 0, atMost},
		"another one consents after the claim": {[]int{1}, []int{4}, 3, 0, soon},
		"two consent after the claim":          {nil, []int{2, 3}, 3, 0, soon},
		"strangers consent":                    {nil, []int{7, 8, 9}, 3, 0, atMost},
		"consents to an earlier claim":         {nil, []int{2, 3}, 2, 0, atMost},
		"the term before it was kept as well":  {nil, []int{2, 3}, 3, 15 * time.Second, 15*time.Second - claimAfter - after},
	} {
		t.Run(name, func(t *testing.T) {
			r := Record{Term: 1, Owner: "node-0/1", Addr: "10.0.0.0:1", Renewal: 3, StartLimit: s.StartLimit, EarlierOwners: c.earlier}
			for w := range 5 {
				r.Witnesses = append(r.Witnesses, testWitness(w+1))
			}
			f := &fakeStore{records: []Record{r}}
			b := newContender(9)
			b.core = New(s, "node-1/1", testWitness(1).Addr)
			b.readAll(time.Second, f)
			for _, w := range c.before {
				b.step(time.Second, Consented{Witness: testWitness(w).ID, Term: 1, Renewal: 3})
			}
			now := time.Second + claimAfter
			b.step(now, Tick{})
			b.answer(now, f)
			if b.ownedTerm != 2 {
				t.Fatal("not claimed")
			}
			asked := 0
			for end := now + after; now < end; now += 50 * time.Millisecond {
				for _, a := range b.core.Step(now, Tick{}) {
					if a, ok := a.(AskConsents); ok && a.Term == 1 && a.Renewal == 3 {
						asked++
					}
				}
			}
			if asked != 1 {
				t.Errorf("asked %d times after the claim, want once more", asked)
			}
			for _, w := range c.later {
				b.step(now, Consented{Witness: testWitness(w).ID, Term: 1, Renewal: c.renewal})
			}
			if got := b.core.earlierUntil - now; got != c.allows {
				t.Errorf("allows earlier owners %v, want %v", got, c.allows)
			}
		})
	}
}
