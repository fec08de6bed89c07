package modelcheck

// The size of the key specification: two hosts, three workers that are all
// witnesses, and three epochs: the first claim's owner (1) and successor (2), and
// the owner of a second claim (3).
const (
	hosts    = 2
	workers  = 3
	majority = workers/2 + 1
	lastEp   = 3
)

// holdTicks is a hold's time to live.
const holdTicks = 1

// stage is how far a host is with the group.
type stage uint8

const (
	idle stage = iota
	fencing
	waiting
	scanning
	owned
	dead
)

// KeyStatus is what a host's ledger, or the caller, knows of the key.
type KeyStatus uint8

// The fates.
const (
	NotReceived KeyStatus = iota
	Queued
	StartSent
	Resolving
	// NotRunPending is a proof that it did not run, not told while holds are lapsed.
	NotRunPending
	Done
	NotRun
	OutcomeUnknown
)

// final says that the fate is one that callers are told.
func (f KeyStatus) final() bool { return f >= Done }

// guard is what a host knows of one worker.
type guard struct {
	// fenced is 0 when not fenced, else 1 plus the ticks since, up to the wait.
	fenced uint8
	// inc is the incarnation that was fenced, plus 1; 0 for none.
	inc    uint8
	listed bool
	// knew says that the term followed had listed it.
	knew bool
	same bool
	// until is for how many ticks the hold counts.
	until uint8
	// past says that the key may have run here before the gain without a trace.
	past bool
	// trace says that the host's attempt at the key went here.
	trace bool
	// late says that the listing reached back to a restart after the key was made.
	late bool
	// seen says that the key's run was listed here.
	seen bool
}

// host is one scheduler.
type host struct {
	stage stage
	epoch uint8
	// follows is the epoch of its own that the term follows; 0 for none.
	follows uint8
	// unbroken says that nobody came between the epoch followed and the term.
	unbroken bool
	// scanned says that workers which don't answer are no longer waited for.
	scanned bool
	beaten  bool
	read    bool
	wrote   bool
	// held is the ledger's view: gained, and not suspended since.
	held bool
	// gained says that the host believes it owns the group, held or not.
	gained bool
	// term is the epoch of the last gain, which offers are bound to.
	term uint8
	fate KeyStatus
	// inc is the incarnation of the attempt's worker at the attempt, and lease
	// the epoch that sent it.
	inc   uint8
	lease uint8
	guard [workers]guard
}

// worker is one witness.
type worker struct {
	epoch uint8
	inc   uint8
	// hold is the epoch that holds, left for how many ticks.
	hold uint8
	left uint8
	// ran and barred have a bit for each lease, named by the epoch that sent it.
	ran    uint8
	barred uint8
	// starts and holds are the messages under way to it, by epoch. They stay, as
	// a message may come late, twice or never. oldHolds are of an earlier incarnation.
	starts   uint8
	holds    uint8
	oldHolds uint8
	// oldStarts are starts meant for an earlier incarnation.
	oldStarts uint8
	// late says that the worker restarted after the key was made.
	late bool
}

// KeyState is a state of the key specification.
type KeyState struct {
	host   [hosts]host
	worker [workers]worker
	// made says that the caller has made its key.
	made bool
	// target is the host that the caller listens to, plus 1.
	target uint8
	// offers has a bit for each epoch under which the key was offered.
	offers uint8
	// landing has a bit for each host whose second claim is under way.
	landing uint8
	// winner is the host whose second claim won, plus 1.
	winner uint8
	// told is what the caller was told; Unheard for nothing.
	told KeyStatus
	runs uint8
	// mixed says that a worker started under a lower epoch after a higher one.
	mixed bool
	// overlap says that a start ran after a higher epoch had fenced a majority.
	overlap bool

	ticks    uint8
	restarts uint8
	crashes  uint8
	// lateHolds counts the holds asked for once that came again.
	lateHolds uint8
}

func bit(e uint8) uint8 { return 1 << e }

func b2u(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}

// Append encodes the state.
func (s KeyState) Append(b []byte) []byte {
	for i := range s.host {
		b = s.host[i].append(b)
	}
	for i := range s.worker {
		b = s.worker[i].append(b)
	}
	flags := b2u(s.made) | b2u(s.mixed)<<1 | b2u(s.overlap)<<2
	b = append(b, flags, s.target|s.winner<<4, s.offers|s.landing<<4, uint8(s.told)|s.runs<<4)
	return append(b, s.ticks|s.lateHolds<<4, s.restarts|s.crashes<<4)
}

func (h *host) append(b []byte) []byte {
	flags := b2u(h.beaten) | b2u(h.read)<<1 | b2u(h.wrote)<<2 | b2u(h.held)<<3 | b2u(h.gained)<<4 | b2u(h.unbroken)<<5
	b = append(b, uint8(h.stage)|h.epoch<<4, flags, b2u(h.scanned)|h.follows<<4, uint8(h.fate)|h.term<<4, h.inc|h.lease<<4)
	for i := range h.guard {
		b = h.guard[i].append(b)
	}
	return b
}

func (g *guard) append(b []byte) []byte {
	flags := b2u(g.listed) | b2u(g.same)<<1 | b2u(g.past)<<2 | b2u(g.trace)<<3 | b2u(g.seen)<<4 | b2u(g.late)<<5 | b2u(g.knew)<<6
	return append(b, g.fenced|g.inc<<3|g.until<<6, flags)
}

func (w *worker) append(b []byte) []byte {
	return append(b, w.epoch|w.inc<<4, w.hold|w.left<<4, w.ran|w.barred<<4,
		w.starts|w.holds<<4, w.oldHolds|w.oldStarts<<4, b2u(w.late))
}

// canon gives the state with its workers in one order, as they are all alike, and
// the order: the worker at i came from order[i].
func (s KeyState) canon() (KeyState, [workers]uint8) {
	var sig [workers]uint64
	order := [workers]uint8{}
	for i := range sig {
		sig[i] = s.signature(i)
		order[i] = uint8(i)
	}
	for i := 1; i < workers; i++ {
		for j := i; j > 0 && sig[order[j]] < sig[order[j-1]]; j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	out := s
	for i, from := range order {
		out.worker[i] = s.worker[from]
		for h := range out.host {
			out.host[h].guard[i] = s.host[h].guard[from]
		}
	}
	return out, order
}

// signature is equal for two workers that can change places.
func (s *KeyState) signature(i int) uint64 {
	w := &s.worker[i]
	v := uint64(w.epoch) | uint64(w.inc)<<2 | uint64(w.hold)<<4 | uint64(w.left)<<6 |
		uint64(w.ran)<<8 | uint64(w.barred)<<12 | uint64(w.starts)<<16 | uint64(w.holds)<<20 |
		uint64(w.oldHolds)<<24 | uint64(w.oldStarts)<<28 | uint64(b2u(w.late))<<32
	for h := range s.host {
		v |= uint64(s.host[h].guard[i].pack()) << (33 + 14*h)
	}
	return v
}

// pack fits a guard into 14 bits.
func (g *guard) pack() uint16 {
	return uint16(g.fenced) | uint16(g.inc)<<3 | uint16(g.until)<<5 |
		uint16(b2u(g.listed))<<7 | uint16(b2u(g.same))<<8 | uint16(b2u(g.past))<<9 |
		uint16(b2u(g.trace))<<10 | uint16(b2u(g.seen))<<11 | uint16(b2u(g.late))<<12 | uint16(b2u(g.knew))<<13
}
