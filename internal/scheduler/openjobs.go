package scheduler

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

const (
	// jobsPerRefresh bounds the records that one look at the open jobs appends.
	jobsPerRefresh = 64
	// jobRefreshEvery is the time between two looks.
	jobRefreshEvery = 10 * time.Second
)

// openJobs holds the accepted jobs that have no outcome, so that their records can
// be appended anew at half of the log's retention.
type openJobs struct {
	retention time.Duration
	looked    time.Time
	jobs      map[model.Key]*openJob
}

// openJob is one accepted job and when its record was last appended.
type openJob struct {
	record jobRecord
	at     time.Time
}

func newOpenJobs(retention time.Duration) openJobs {
	return openJobs{retention: retention, jobs: make(map[model.Key]*openJob)}
}

func (o *openJobs) add(now time.Time, r jobRecord) {
	o.jobs[r.Work.Key] = &openJob{record: r, at: now}
}

func (o *openJobs) remove(k model.Key) { delete(o.jobs, k) }

// due gives the jobs whose records are past half of the retention, the oldest
// first, and takes them as appended now.
func (o *openJobs) due(now time.Time) []jobRecord {
	if now.Sub(o.looked) < jobRefreshEvery {
		return nil
	}
	o.looked = now
	var old []*openJob
	for _, j := range o.jobs {
		if now.Sub(j.at) >= o.retention/2 {
			old = append(old, j)
		}
	}
	slices.SortFunc(old, func(a, b *openJob) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.record.Work.Key, b.record.Work.Key))
	})
	old = old[:min(len(old), jobsPerRefresh)]
	out := make([]jobRecord, len(old))
	for i, j := range old {
		j.at = now
		out[i] = j.record
	}
	return out
}
