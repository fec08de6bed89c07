package instance

import (
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// The product's own topics in the store. Each keeps the newest record of a key.
const (
	// topicJobs holds submissions and cancellations, written by any instance.
	topicJobs external.Topic = "keyed.jobs"
	// topicProgress holds the progress of jobs, written by the cell's owner.
	topicProgress external.Topic = "keyed.progress"
	// topicTerm holds the term of the cell.
	topicTerm external.Topic = "keyed.term"

	keySubmission   = "j/"
	keyCancellation = "c/"
	keyTerm         = "cell-0"
	// keyRoster is the key of the workers in use, beside the names of jobs.
	keyRoster     = "/roster"
	producerOwner = "owner-0"
)

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

// jobRecord is what a record of topicJobs says: a submission or a cancellation.
type jobRecord struct {
	submitted *job.Job
	cancelled job.ID
}

// readJobRecord reads a record of topicJobs; a dropped key gives an empty one.
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
	return jobRecord{submitted: j}, nil
}
