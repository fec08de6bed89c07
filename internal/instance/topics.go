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

// The product's own topics in the store. Each keeps the newest record of a key. The
// store may lose some of its partitions, so what must stay available is spread over
// several topics.
var (
	// topicsJobs hold submissions and cancellations, written by any instance. A partition
	// carries out one append at a time: with a store that takes 140 ms for each, twelve
	// topics carry 85 a second.
	topicsJobs = numberedTopics("keyed.jobs-", 12)
	// topicsProgress hold the progress of jobs, written by the cell's owner. All but the
	// first are used only while those before them are unavailable.
	topicsProgress = numberedTopics("keyed.progress-", 3)
)

// numberedTopics returns n topics with a common prefix.
func numberedTopics(prefix string, n int) []external.Topic {
	out := make([]external.Topic, n)
	for i := range out {
		out[i] = external.Topic(prefix + strconv.Itoa(i))
	}
	return out
}

const (
	// topicTerm holds the term record of the cell.
	topicTerm external.Topic = "keyed.term"

	keySubmission   = "j/"
	keyCancellation = "c/"
	keyTerm         = "cell-0"
	// keyVote, followed by the name of an instance, is the key of its latest vote against an owner.
	keyVote = "vote/"
	// keyRoster is the key of the list of workers in use; jobs use their IDs as keys.
	keyRoster = "/roster"
	// keyPart, followed by the key of an item and a number, is the key of a further record of it.
	keyPart = "/part/"
	// keyFence is the key of the term that may write progress.
	keyFence      = "/fence"
	producerOwner = "owner-0"
)

// topicSet has a bit for each of topicsJobs.
type topicSet uint16

func (s topicSet) has(n int) bool { return s&(1<<n) != 0 }

func (s topicSet) with(n int) topicSet { return s | 1<<n }

func (s topicSet) without(n int) topicSet { return s &^ (1 << n) }

// topicOrder returns the numbers of the topics for a job's records, best first; jobs are
// spread evenly over the topics.
func topicOrder(id job.ID) []int {
	first := int(xxhash.Sum64String(string(id)) % uint64(len(topicsJobs)))
	order := make([]int, 0, len(topicsJobs))
	for n := range topicsJobs {
		order = append(order, (first+n)%len(topicsJobs))
	}
	return order
}

// recordVersion orders the records that owners write for one key to several topics.
type recordVersion struct {
	Term  int64 `cbor:"1,keyasint"`
	Batch int64 `cbor:"2,keyasint"`
}

func (v recordVersion) compare(o recordVersion) int {
	return cmp.Or(cmp.Compare(v.Term, o.Term), cmp.Compare(v.Batch, o.Batch))
}

// progressRecord is a job's progress as stored. If it does not fit into one record, the first one
// says how many others of the same version hold the rest.
type progressRecord struct {
	Version  recordVersion `cbor:"1,keyasint"`
	Progress job.Progress  `cbor:"2,keyasint"`
	Parts    int           `cbor:"3,keyasint,omitempty"`
}

// rosterRecord is the list of workers in use as stored, divided as progressRecord is.
type rosterRecord struct {
	Version recordVersion      `cbor:"1,keyasint"`
	Workers []cell.RosterEntry `cbor:"2,keyasint"`
	Parts   int                `cbor:"3,keyasint,omitempty"`
}

// errInvalidRecord means that a record in one of the product's own topics can't be read.
var errInvalidRecord = eris.New("invalid record")

func encodeRecord(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, eris.Wrap(err, "encode record")
}

func decodeRecord(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return eris.Wrap(errInvalidRecord, err.Error())
	}
	return nil
}

// jobRecord is the content of a record of topicsJobs: a submission or a cancellation.
type jobRecord struct {
	submitted *job.Job
	cancelled job.ID
}

// id returns the job that the record is about; ok is false for a deleted key.
func (r jobRecord) id() (id job.ID, ok bool) {
	if r.submitted != nil {
		return r.submitted.ID, true
	}
	return r.cancelled, r.cancelled != ""
}

// decodeJobRecord decodes a record of topicsJobs; a deleted key gives an empty jobRecord.
func decodeJobRecord(r external.Record) (jobRecord, error) {
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
		return jobRecord{}, eris.Wrap(errInvalidRecord, "job "+string(j.ID)+" stored under key "+r.Key)
	}
	// Every owner reads the stored records, so an invalid job must not reach the cell.
	if err := j.Normalize(); err != nil {
		return jobRecord{}, eris.Wrap(errInvalidRecord, err.Error())
	}
	return jobRecord{submitted: j}, nil
}
