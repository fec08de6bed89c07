package ownership

import (
	"time"

	"coltsfootmux/internal/model"
)

// scope is what the core knows of one cell or key group.
type scope struct {
	target Target
	// known says that offset and claim are the current claim.
	known  bool
	offset model.Offset
	claim  model.Claim
	readAt time.Time
	// rank is this scheduler's place in the claim's line; -1 for none.
	rank int
	// active is the rank of the last host known to act under the claim.
	active int
	// heard is when that host last gave a sign of life.
	heard time.Time
	// vacant is since when nobody seems to own the scope.
	vacant time.Time
	// lineSeen is when the claim's successors were last looked at.
	lineSeen time.Time
	// asked is when a claim that replaces the current one was last appended.
	asked time.Time
	// handed is set once this scheduler has given the claim's scope away.
	handed bool
	// beaten is the epoch whose term was refused for a higher one.
	beaten model.Epoch
	term   *term
}

func (s *scope) isGroup() bool { return s.target.Scope.Kind == model.ScopeGroup }

// epoch is this scheduler's epoch under the current claim; 0 for none.
func (s *scope) epoch() model.Epoch {
	if !s.known || s.rank < 0 {
		return 0
	}
	return model.EpochOf(s.offset, s.rank)
}

// phase is how far a term has come.
type phase uint8

const (
	// fencing: raising the epoch at the workers.
	fencing phase = iota
	// waiting: old holds of a key group are lapsing.
	waiting
	// scanning: asking the workers what they know, and for holds.
	scanning
	// owned: deciding.
	owned
)

// term is this scheduler's own tenure of a scope under one epoch.
type term struct {
	epoch model.Epoch
	phase phase
	// began is when the phase began, started when the term did.
	began   time.Time
	started time.Time
	// follows is the epoch whose holder stopped before this term: the same
	// host's own earlier one, or that of the owner that handed over. Old holds
	// need no wait when a majority of witnesses saw nothing later.
	follows model.Epoch
	// own says that the epoch followed was this process's.
	own bool
	// unbroken says that nobody came between the epoch followed and this term, so
	// that what its listings told still stands.
	unbroken bool
	// used says that keyed work was started under this very epoch before a
	// Suspend. Its starts may still be under way, and no fence of the same epoch
	// stops them.
	used   bool
	guards []*guard
	gained bool
}

// guard is one worker as seen by a term.
type guard struct {
	worker  model.Worker
	witness bool
	// fenced says that the worker refuses epochs lower than the term's.
	fenced   bool
	fencedAt time.Time
	// same says that nobody came between the epoch followed and the term's.
	same        bool
	incarnation string
	// history is since when the worker's incarnation lives.
	history time.Time
	listed  bool
	// knew says that the term followed had listed it. That counts again once a
	// fence shows that nobody came in between.
	knew    bool
	listing Scanned
	// ended is since when the worker keeps endings.
	ended time.Time
	// past is until when work may have run here before the gain without a trace.
	past time.Time
	// told says that the listing went out in a Gain or Joined.
	told bool
	// askedAt is when a fence or listing was last sent.
	askedAt time.Time
	// echo and until are of the hold; holdSent is when it was last asked for.
	echo     uint64
	until    time.Time
	holdSent time.Time
	// wanted is when keyed work was last to start here.
	wanted time.Time
}

func (t *term) guard(id model.WorkerID) *guard {
	for _, g := range t.guards {
		if g.worker.ID == id {
			return g
		}
	}
	return nil
}

// count gives how many witnesses fulfil a condition.
func (t *term) count(ok func(*guard) bool) int {
	n := 0
	for _, g := range t.guards {
		if g.witness && ok(g) {
			n++
		}
	}
	return n
}

// majority reports whether most witnesses of the target fulfil a condition.
func (s *scope) majority(ok func(*guard) bool) bool {
	return s.term.count(ok) > len(s.target.Witnesses)/2
}
