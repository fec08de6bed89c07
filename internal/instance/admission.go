package instance

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"coltsfootmux/internal/core/budget"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

const (
	// capacityReadDelay is the time from the acceptance of a job to the question whether the owner
	// has read it; one question is about all jobs accepted meanwhile.
	capacityReadDelay = 150 * time.Millisecond
	// capacityRetryDelay is the same after a question that was not answered.
	capacityRetryDelay = 500 * time.Millisecond
	// capacityRefreshInterval is the least time between two questions for jobs that do not fit.
	capacityRefreshInterval = 100 * time.Millisecond
	// capacityReportInterval is the least time between two log lines about a full cell.
	capacityReportInterval = 10 * time.Second
	// maxCapacityIDs bounds the jobs of one question.
	maxCapacityIDs = 256
)

// admission keeps what this instance accepts within the memory of the cell.
type admission struct {
	mu   sync.Mutex
	core budget.Admission
	// asking is set while a goroutine asks the owner about accepted jobs.
	asking bool
	// nextRefresh is the boot time from which the owner may be asked for a job that does not fit.
	nextRefresh time.Duration
	// nextReport is the boot time from which a full cell is logged, refused counts the jobs
	// since the last line.
	nextReport time.Duration
	refused    int
}

// setCellLimit sets the limit of the weakest instance that may own the cell.
func (i *Instance) setCellLimit(records []memberRecord) {
	limit := i.Settings.Cell.Memory
	for _, r := range records {
		if r.CellMemory > 0 {
			limit = min(limit, r.CellMemory)
		}
	}
	i.members.mu.Lock()
	instances := len(i.members.addrs) + 1
	i.members.mu.Unlock()
	i.admission.mu.Lock()
	defer i.admission.mu.Unlock()
	i.admission.core.SetLimit(limit, instances)
}

func (a *admission) limit() budget.Limit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Limit()
}

// admit reserves memory for a new job. A job that does not fit is refused, unless the owner has
// read it: then it was accepted before. Error: ErrCellFull.
func (i *Instance) admit(ctx context.Context, j *job.Job) (known bool, err error) {
	a, cost := &i.admission, budget.CostOf(j).Total()
	if a.admit(j.ID, cost) {
		return false, nil
	}
	if !a.beginRefresh() {
		sleep(ctx, capacityRefreshInterval) // another call asks meanwhile
	}
	if a.admit(j.ID, cost) {
		return false, nil
	}
	rep := i.askCapacity(ctx, wire.CapacityQuery{Reserve: j.ID, Cost: cost})
	switch {
	case slices.Contains(rep.Read, j.ID):
		return true, nil
	case rep.Granted:
		a.granted(j.ID, cost)
		return false, nil
	}
	mRefusedFull.Inc()
	if n := a.countRefused(); n > 0 {
		evCellFull.Log(ctx, i.logger, slog.Int("jobs", n), slog.String("job", string(j.ID)), slog.String("queue", j.Queue.Name),
			slog.String("account", j.Account), slog.Int64("bytes", cost))
	}
	return false, ErrCellFull
}

func (a *admission) admit(id job.ID, cost int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Admit(boottime(), id, cost)
}

func (a *admission) granted(id job.ID, cost int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Granted(boottime(), id, cost)
}

// beginRefresh reports whether the owner may be asked for a job that does not fit.
func (a *admission) beginRefresh() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime()
	if now < a.nextRefresh {
		return false
	}
	a.nextRefresh = now + capacityRefreshInterval
	return true
}

// countRefused counts a refused job. It returns how many there were since the last line of the
// log if the next one is due, else 0.
func (a *admission) countRefused() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
	now := boottime()
	if now < a.nextReport {
		return 0
	}
	n := a.refused
	a.nextReport, a.refused = now+capacityReportInterval, 0
	return n
}

// written takes in the result of writing an admitted job. The owner is asked about what may be
// stored.
func (a *admission) written(i *Instance, id job.ID, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if errors.Is(err, ErrRefused) {
		a.core.Dropped(id)
		return
	}
	a.core.Stored(id)
	if !a.asking && len(a.core.Unread(1)) > 0 {
		a.asking = true
		i.spawn(i.followCapacity)
	}
}

// followCapacity asks the owner until it has read all jobs that were accepted here.
func (i *Instance) followCapacity(ctx context.Context) {
	delay := capacityReadDelay
	for ctx.Err() == nil {
		sleep(ctx, delay)
		delay = capacityReadDelay
		if rep := i.askCapacity(ctx, wire.CapacityQuery{}); !rep.Known {
			delay = capacityRetryDelay
		}
		if i.admission.endAsking() {
			return
		}
	}
}

// endAsking reports whether there is nothing left to ask about.
func (a *admission) endAsking() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking = len(a.core.Unread(1)) > 0
	return !a.asking
}

// askCapacity asks the owner, also about the jobs accepted here, and takes in the answer.
func (i *Instance) askCapacity(ctx context.Context, q wire.CapacityQuery) wire.CapacityReply {
	a := &i.admission
	a.mu.Lock()
	q.IDs = a.core.Unread(maxCapacityIDs)
	a.mu.Unlock()
	asked := boottime()
	rep, err := i.capacityOf(ctx, q)
	if err != nil || !rep.Known {
		evCapacityUnknown.Log(ctx, i.logger, slog.Int("jobs", len(q.IDs)), slog.Any("error", err))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if rep.Known {
		a.core.Reported(asked, budget.Report{Used: rep.Used, Read: rep.Read})
	} else {
		a.core.NotReported(asked)
	}
	return rep
}

func (i *Instance) capacityOf(ctx context.Context, q wire.CapacityQuery) (wire.CapacityReply, error) {
	if o := i.owner.Load(); o != nil {
		return o.capacity(q), nil
	}
	return askOwner[wire.CapacityQuery, wire.CapacityReply](ctx, i, wire.KindCapacity, q)
}

func (i *Instance) onCapacityQuery(_ context.Context, _ link.Peer, q wire.CapacityQuery) (wire.CapacityReply, error) {
	if o := i.owner.Load(); o != nil {
		return o.capacity(q), nil
	}
	return wire.CapacityReply{}, nil
}

// capacity answers what the cell's jobs take and which jobs have been read.
func (o *owner) capacity(q wire.CapacityQuery) wire.CapacityReply {
	limit := o.inst.admission.limit()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil {
		return wire.CapacityReply{}
	}
	r := wire.CapacityReply{Known: true}
	for _, id := range append(q.IDs, q.Reserve) {
		if o.core.Knows(id) {
			r.Read = append(r.Read, id)
		}
	}
	now, used := boottime(), o.core.Used()
	o.reserved.Expire(now, o.core.Knows)
	if q.Reserve != "" && !o.core.Knows(q.Reserve) {
		r.Granted = o.reserved.Reserve(now, limit, used, q.Reserve, q.Cost)
	}
	r.Used = used + o.reserved.Held(append(q.IDs, q.Reserve))
	return r
}
