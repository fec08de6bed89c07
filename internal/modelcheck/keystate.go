package modelcheck

// The size of the key specification: two hosts, three workers that all act as
// witnesses, and three epochs: those of the first claim's owner (1) and successor
// (2), and that of a second claim's owner (3).
const (
	hosts     = 2
	workers   = 3
	majority  = workers/2 + 1
	lastEpoch = 3
)

// holdTTLTicks is a hold's time to live.
const holdTTLTicks = 1

// stage is a host's progress towards owning the group.
type stage uint8

const (
	idle stage = iota
	fencing
	waiting
	scanning
	owned
	dead
)

// KeyStatus is the state of the key as known to a host's ledger or to the caller.
type KeyStatus uint8

// The states of a key.
const (
	NotReceived KeyStatus = iota
	Queued
	StartSent
	Resolving
	// NotRunPending means that the key is known not to have run. The outcome is
	// withheld until the host has holds again.
	NotRunPending
	Done
	NotRun
	OutcomeUnknown
)

// final says that the status is an outcome that callers receive.
func (s KeyStatus) final() bool { return s >= Done }

// workerView is what a host knows of one worker.
type workerView struct {
	// fenceAge is 0 if the worker is not fenced, else 1 plus the ticks since the
	// fence, up to the wait.
	fenceAge uint8
	// incarnation is 1 plus the incarnation that was fenced, or 0 for none.
	incarnation uint8
	listed      bool
	// listedBefore says that the worker was listed in the previous epoch.
	listedBefore bool
	// unchanged says that the fence found the previous epoch and the same
	// incarnation, so no other owner used the worker in between.
	unchanged bool
	// holdLeft is the number of ticks for which the hold is valid.
	holdLeft uint8
	// mayHaveRun says that the key may have run here before the gain without
	// appearing in the listing.
	mayHaveRun bool
	// attempted says that the host's attempt at the key was sent here.
	attempted bool
	// restartedSince says that the listing covers only the time since a restart,
	// which came after the key was created.
	restartedSince bool
	// runListed says that the key's run was listed here.
	runListed bool
}

// host is the state of one scheduler.
type host struct {
	stage stage
	epoch uint8
	// previousEpoch is the epoch that the host owned directly before this term; 0
	// for none.
	previousEpoch uint8
	// uninterrupted says that no other owner came between the previous epoch and
	// this term.
	uninterrupted bool
	// scanTimedOut says that the host no longer waits for workers that don't answer.
	scanTimedOut bool
	// superseded says that the host lost a term because another owner came, or may
	// have come, in between.
	superseded bool
	claimRead  bool
	claimSent  bool
	// active says that the ledger has gained the group and was not suspended since.
	active bool
	// gained says that the host believes that it owns the group, whether or not it
	// is active.
	gained bool
	// gainedEpoch is the epoch of the last gain, to which submissions are bound.
	gainedEpoch uint8
	status      KeyStatus
	// attemptIncarnation is the incarnation of the attempt's worker when the start
	// was sent, and attemptEpoch the epoch under which it was sent.
	attemptIncarnation uint8
	attemptEpoch       uint8
	views              [workers]workerView
}

// worker is the state of one worker, which is also a witness.
type worker struct {
	epoch       uint8
	incarnation uint8
	// holdEpoch is the epoch that has a hold, and holdLeft the number of ticks for
	// which the hold is valid.
	holdEpoch uint8
	holdLeft  uint8
	// ranEpochs and barredEpochs are bit sets of the starts that ran or are barred,
	// identified by the epoch under which they were sent.
	ranEpochs    uint8
	barredEpochs uint8
	// startsInFlight and holdsInFlight are bit sets of the epochs of messages to the
	// worker. They are never cleared, as a message may arrive late, twice or never.
	// staleHolds are those to an earlier incarnation.
	startsInFlight uint8
	holdsInFlight  uint8
	staleHolds     uint8
	// staleStarts are starts sent to an earlier incarnation.
	staleStarts uint8
	// restartedSince says that the worker restarted after the key was
	// created.
	restartedSince bool
}

// KeyState is a state of the key specification.
type KeyState struct {
	host   [hosts]host
	worker [workers]worker
	// keyCreated says that the caller has created its key.
	keyCreated bool
	// callerHost is 1 plus the host to which the caller listens, or 0 for none.
	callerHost uint8
	// submitEpochs is a bit set of the epochs under which the key was submitted.
	submitEpochs uint8
	// claimsInFlight is a bit set of the hosts whose second claim is being appended.
	claimsInFlight uint8
	// claimWinner is 1 plus the host whose second claim was accepted, or 0 for none.
	claimWinner uint8
	// callerStatus is the outcome that the caller received, or NotReceived for none.
	callerStatus KeyStatus
	runs         uint8
	// epochDecreased says that a worker ran a start of a lower epoch after one of a
	// higher epoch.
	epochDecreased bool
	// oldOwnerStarted says that a start ran after a higher epoch had fenced a
	// majority.
	oldOwnerStarted bool

	ticks    uint8
	restarts uint8
	crashes  uint8
	// delayedHolds counts the requests for a hold that arrived a second time.
	delayedHolds uint8
}

func bit(e uint8) uint8 { return 1 << e }

func b2u(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}

// Append appends the encoded state.
func (s KeyState) Append(b []byte) []byte {
	for i := range s.host {
		b = s.host[i].append(b)
	}
	for i := range s.worker {
		b = s.worker[i].append(b)
	}
	flags := b2u(s.keyCreated) | b2u(s.epochDecreased)<<1 | b2u(s.oldOwnerStarted)<<2
	b = append(b, flags, s.callerHost|s.claimWinner<<4, s.submitEpochs|s.claimsInFlight<<4, uint8(s.callerStatus)|s.runs<<4)
	return append(b, s.ticks|s.delayedHolds<<4, s.restarts|s.crashes<<4)
}

func (h *host) append(b []byte) []byte {
	flags := b2u(h.superseded) | b2u(h.claimRead)<<1 | b2u(h.claimSent)<<2 | b2u(h.active)<<3 | b2u(h.gained)<<4 | b2u(h.uninterrupted)<<5
	b = append(b, uint8(h.stage)|h.epoch<<4, flags, b2u(h.scanTimedOut)|h.previousEpoch<<4, uint8(h.status)|h.gainedEpoch<<4, h.attemptIncarnation|h.attemptEpoch<<4)
	for i := range h.views {
		b = h.views[i].append(b)
	}
	return b
}

func (v *workerView) append(b []byte) []byte {
	flags := b2u(v.listed) | b2u(v.unchanged)<<1 | b2u(v.mayHaveRun)<<2 | b2u(v.attempted)<<3 | b2u(v.runListed)<<4 | b2u(v.restartedSince)<<5 | b2u(v.listedBefore)<<6
	return append(b, v.fenceAge|v.incarnation<<3|v.holdLeft<<6, flags)
}

func (w *worker) append(b []byte) []byte {
	return append(b, w.epoch|w.incarnation<<4, w.holdEpoch|w.holdLeft<<4, w.ranEpochs|w.barredEpochs<<4,
		w.startsInFlight|w.holdsInFlight<<4, w.staleHolds|w.staleStarts<<4, b2u(w.restartedSince))
}

// canonical returns the state with its workers sorted, as they are interchangeable,
// and the permutation: the worker at index i came from order[i].
func (s KeyState) canonical() (KeyState, [workers]uint8) {
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
			out.host[h].views[i] = s.host[h].views[from]
		}
	}
	return out, order
}

// signature is equal for two interchangeable workers.
func (s *KeyState) signature(i int) uint64 {
	w := &s.worker[i]
	v := uint64(w.epoch) | uint64(w.incarnation)<<2 | uint64(w.holdEpoch)<<4 | uint64(w.holdLeft)<<6 |
		uint64(w.ranEpochs)<<8 | uint64(w.barredEpochs)<<12 | uint64(w.startsInFlight)<<16 | uint64(w.holdsInFlight)<<20 |
		uint64(w.staleHolds)<<24 | uint64(w.staleStarts)<<28 | uint64(b2u(w.restartedSince))<<32
	for h := range s.host {
		v |= uint64(s.host[h].views[i].pack()) << (33 + 14*h)
	}
	return v
}

// pack encodes the view in 14 bits.
func (v *workerView) pack() uint16 {
	return uint16(v.fenceAge) | uint16(v.incarnation)<<3 | uint16(v.holdLeft)<<5 |
		uint16(b2u(v.listed))<<7 | uint16(b2u(v.unchanged))<<8 | uint16(b2u(v.mayHaveRun))<<9 |
		uint16(b2u(v.attempted))<<10 | uint16(b2u(v.runListed))<<11 | uint16(b2u(v.restartedSince))<<12 | uint16(b2u(v.listedBefore))<<13
}
