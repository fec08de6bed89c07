package instance

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// The product's own topics in the store. Each keeps the newest record of a key.
// Where the store may lose some of its partitions, what must go on is spread
// over several topics.
var (
	// topicsJobs hold submissions and cancellations, written by any instance. A
	// partition carries out one append at a time: a store that takes 140 ms for each
	// carries 85 a second over twelve.
	topicsJobs = numbered("keyed.jobs-", 12)
	// topicsProgress hold the progress of jobs, written by the cell's owner. All
	// but the first are used only while those before are lost.
	topicsProgress = numbered("keyed.progress-", 3)
)

// numbered gives n topics with a common beginning.
func numbered(prefix string, n int) []external.Topic {
	out := make([]external.Topic, n)
	for i := range out {
		out[i] = external.Topic(prefix + strconv.Itoa(i))
	}
	return out
}

const (
	// topicTerm holds the term of the cell.
	topicTerm external.Topic = "keyed.term"

	keySubmission   = "j/"
	keyCancellation = "c/"
	keyTerm         = "cell-0"
	// keyRoster is the key of the workers in use, beside the names of jobs.
	keyRoster = "/roster"
	// keyFence is the key of the term that may write progress.
	keyFence      = "/fence"
	producerOwner = "owner-0"
)

// topicSet has a bit for each of topicsJobs.
type topicSet uint16

func (s topicSet) has(n int) bool { return s&(1<<n) != 0 }

func (s topicSet) with(n int) topicSet { return s | 1<<n }

// topicOrder gives the numbers of the topics for a job's records, best first;
// jobs are spread evenly.
func topicOrder(id job.ID) []int {
	first := int(xxhash.Sum64String(string(id)) % uint64(len(topicsJobs)))
	order := make([]int, 0, len(topicsJobs))
	for n := range topicsJobs {
		order = append(order, (first+n)%len(topicsJobs))
	}
	return order
}

// stamp orders an owner's records of one key over several topics.
type stamp struct {
	Term  int64 `cbor:"1,keyasint"`
	Batch int64 `cbor:"2,keyasint"`
}

func (s stamp) compare(o stamp) int {
	return cmp.Or(cmp.Compare(s.Term, o.Term), cmp.Compare(s.Batch, o.Batch))
}

// progressRecord is a job's progress as it is kept.
type progressRecord struct {
	Stamp    stamp        `cbor:"1,keyasint"`
	Progress job.Progress `cbor:"2,keyasint"`
}

// rosterRecord is the list of workers in use as it is kept.
type rosterRecord struct {
	Stamp   stamp              `cbor:"1,keyasint"`
	Workers []cell.RosterEntry `cbor:"2,keyasint"`
}

// errRecord means that a record of the product's own can't be read.
var errRecord = eris.New("record not understood")

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, eris.Wrap(err, "record not encoded")
}

func decodeRecord(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return eris.Wrap(errRecord, err.Error())
	}
	return nil
}

// jobRecord is what a record of topicsJobs says: a submission or a cancellation.
type jobRecord struct {
	submitted *job.Job
	cancelled job.ID
}

// id gives the job that the record is about; ok is false for a dropped key.
func (r jobRecord) id() (id job.ID, ok bool) {
	if r.submitted != nil {
		return r.submitted.ID, true
	}
	return r.cancelled, r.cancelled != ""
}

// readJobRecord reads a record of topicsJobs; a dropped key gives an empty one.
func readJobRecord(r external.Record) (jobRecord, error) {
	if len(r.Value) == 0 {
		return jobRecord{}, nil
	}
	if id, ok := strings.CutPrefix(r.Key, keyCancellation); ok {
		return jobRecord{cancelled: job.ID(id)}, nil
	}
	j := &job.Job{}
	if err := decodeRecord(r.Value, j); err != nil {
		return jobRecord{}, err
	}
	if r.Key != keySubmission+string(j.ID) {
		return jobRecord{}, eris.Wrap(errRecord, "job "+string(j.ID)+" under the key "+r.Key)
	}
	// Each owner reads what the store keeps: a job that none may take in must not
	// get as far as the cell.
	if err := j.Check(); err != nil {
		return jobRecord{}, eris.Wrap(errRecord, err.Error())
	}
	return jobRecord{submitted: j}, nil
}
