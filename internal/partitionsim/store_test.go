package partitionsim

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// topic is a topic of the simulated store.
type topic struct {
	records []any
	// key returns the key of a record; nil if the records have none.
	key func(record any) any
	// waiting holds the reads that wait for a record.
	waiting []func()
}

func (t *topic) end() int64 { return int64(len(t.records)) }

// append adds a record and answers the waiting reads.
func (t *topic) append(r any) {
	t.records = append(t.records, r)
	waiting := t.waiting
	t.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

// jobRecord is a submission or a cancellation.
type jobRecord struct {
	submitted *job.Job
	cancelled job.ID
}

// workerRecord is an entry of the list of workers, or its removal.
type workerRecord struct {
	id      external.WorkerID
	removed bool
	worker  external.Worker
}

// store is the simulated store.
type store struct {
	terms, jobs, workers topic
	// fence is the highest term that has written progress, lastBatch the last batch of it.
	fence, lastBatch int64
	progress         map[job.ID]job.Progress
	roster           []cell.RosterEntry
}

// appendTerm carries out a conditional append of a term record.
func (s *simulation) appendTerm(r term.Record, expectedEnd int64) term.WriteOutcome {
	t := &s.store.terms
	if t.end() != expectedEnd {
		return term.WriteConflict
	}
	if r.Term > s.claimed {
		s.claimed = r.Term
		s.tracef("store: term %d claimed by %s", r.Term, r.Owner)
		s.checkClaim()
	}
	if r.Released {
		s.tracef("store: term %d released by %s", r.Term, r.Owner)
	}
	t.append(r)
	return term.WriteDone
}

// batchResult is the store's answer to an append of progress.
type batchResult int

const (
	batchStored batchResult = iota
	batchFenced
)

// writeProgress carries out an append of progress. The store refuses earlier terms, and
// carries out no append twice.
func (s *simulation) writeProgress(t int64, p cell.Persist) batchResult {
	st := &s.store
	if t < st.fence {
		return batchFenced
	}
	if t > st.fence {
		st.fence, st.lastBatch = t, 0
	}
	if p.Batch <= st.lastBatch {
		return batchStored
	}
	st.lastBatch = p.Batch
	for _, j := range p.Progress {
		st.progress[j.ID] = j.Progress
	}
	if p.Roster != nil {
		st.roster = slices.Clone(p.Roster)
	}
	return batchStored
}

// listedWorkers returns the list of workers, in the order of their first entries.
func (s *store) listedWorkers() []external.Worker {
	var ids []external.WorkerID
	newest := make(map[external.WorkerID]workerRecord)
	for _, r := range s.workers.records {
		w := r.(workerRecord)
		if _, ok := newest[w.id]; !ok {
			ids = append(ids, w.id)
		}
		newest[w.id] = w
	}
	var out []external.Worker
	for _, id := range ids {
		if !newest[id].removed {
			out = append(out, newest[id].worker)
		}
	}
	return out
}

// Timing of calls to the store, as in package instance.
const (
	readWait         = 2 * time.Second
	readTimeout      = 1200 * time.Millisecond
	outageRetryDelay = time.Second
	minAppendTimeout = 700 * time.Millisecond
	maxAppendTimeout = 2 * time.Second
	appendTimeFactor = 6
	probeInterval    = 150 * time.Millisecond
	probeTimeout     = 500 * time.Millisecond
	confirmTimeout   = 250 * time.Millisecond
	confirmAttempts  = 2
)

// appendTimeout returns how long an append may take: it follows the store's response times.
func (s *simulation) appendTimeout() time.Duration {
	return min(max(minAppendTimeout, 2*appendTimeFactor*s.storeDelay), maxAppendTimeout)
}
