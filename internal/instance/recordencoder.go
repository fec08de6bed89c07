package instance

import (
	"errors"
	"math"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/recordset"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// errTooLarge means that no records can hold what is to be stored.
var errTooLarge = eris.New("too large for the store")

// maxExplicit is the number of occurrences up to which progress is written as versions without
// intervals read it, whatever version the other instances have.
const maxExplicit = 64

// minEntryBytes is the least size of an entry for an occurrence in that form.
const minEntryBytes = 3

// checkpointSizes are the sizes in bytes up to which checkpoints are stored, one after the other,
// if the progress of a job is too large with longer ones.
var checkpointSizes = [...]int{math.MaxInt, 1024, 64, 0}

// recordEncoder encodes what a batch stores.
type recordEncoder struct {
	limits  external.StoreLimits
	version recordVersion
	// explicit says that instances of versions without intervals may take over.
	explicit bool
}

// progress returns the records of a job's progress, and how many checkpoints they leave out.
// Versions that read one record without intervals are served as long as that holds the progress.
// Error: errTooLarge.
func (e *recordEncoder) progress(j cell.JobProgress) (item recordset.Item, dropped int, err error) {
	for _, size := range checkpointSizes {
		p, dropped := recordset.WithCheckpointsUpTo(j.Progress, size)
		if e.limits.AppendBytes > 0 && recordset.CheckpointBytes(p) > e.limits.AppendBytes {
			continue
		}
		records, err := e.progressRecords(string(j.ID), p)
		if !errors.Is(err, errTooLarge) {
			return recordset.Item{Key: string(j.ID), Records: records}, dropped, err
		}
	}
	return item, 0, eris.Wrapf(errTooLarge, "progress of job %s", j.ID)
}

func (e *recordEncoder) progressRecords(key string, p job.Progress) ([]external.Record, error) {
	forms, entries := []job.Progress{p}, p.Ended.Count()+p.Opened.Count()
	mayFit := e.limits.RecordBytes == 0 || entries*minEntryBytes <= e.limits.RecordBytes
	if entries <= maxExplicit || e.explicit && mayFit {
		forms = []job.Progress{p.Explicit(), p}
	}
	for _, f := range forms {
		r, err := newRecord(key, progressRecord{Version: e.version, Progress: f})
		if err != nil || recordset.FitsRecord(e.limits, r) {
			return []external.Record{r}, err
		}
	}
	return divide(e, key, p, recordset.HalveProgress, e.progressPart)
}

// roster returns the records of the list of workers in use. If it is too large with the runs that
// silent workers may have, it leaves them out: a new owner then waits until the leases of these
// workers have ended. Error: errTooLarge.
func (e *recordEncoder) roster(workers []cell.RosterEntry) (recordset.Item, error) {
	records, err := divide(e, keyRoster, workers, recordset.HalveList[cell.RosterEntry], e.rosterPart)
	if errors.Is(err, errTooLarge) {
		workers = slices.Clone(workers)
		for n := range workers {
			workers[n].RunsKnown, workers[n].Runs = false, nil
		}
		records, err = divide(e, keyRoster, workers, recordset.HalveList[cell.RosterEntry], e.rosterPart)
	}
	return recordset.Item{Key: keyRoster, Records: records}, err
}

func (e *recordEncoder) progressPart(p job.Progress, parts int) any {
	return progressRecord{Version: e.version, Progress: p, Parts: parts}
}

func (e *recordEncoder) rosterPart(workers []cell.RosterEntry, parts int) any {
	return rosterRecord{Version: e.version, Workers: workers, Parts: parts}
}

// maxParts bounds the further records of an item; its records are encoded as if there were so many
// until it is known how many there are.
const maxParts = math.MaxInt32

// divide returns the records of an item that may need several, which fit into one append. The
// first one has the item's key and says how many others there are.
func divide[T any](e *recordEncoder, key string, v T, halve func(T) (T, T, bool), record func(v T, parts int) any) ([]external.Record, error) {
	fits := func(v T) bool {
		r, err := newRecord(partKey(key, maxParts), record(v, maxParts))
		return err == nil && recordset.FitsRecord(e.limits, r)
	}
	parts := recordset.Divide(v, fits, halve)
	if parts == nil {
		return nil, eris.Wrap(errTooLarge, key)
	}
	var out []external.Record
	for n, p := range parts {
		k, others := key, len(parts)-1
		if n > 0 {
			k, others = partKey(key, n), 0
		}
		r, err := newRecord(k, record(p, others))
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	if !recordset.FitsAppend(e.limits, out) {
		return nil, eris.Wrap(errTooLarge, key)
	}
	return out, nil
}

func newRecord(key string, v any) (external.Record, error) {
	b, err := encodeRecord(v)
	return external.Record{Key: key, Value: b}, err
}

// partKey returns the key of a further record of an item.
func partKey(key string, n int) string { return keyPart + key + "/" + strconv.Itoa(n) }
