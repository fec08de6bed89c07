package fleet

import (
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Alone is a run of a gang's member that ended as other members did not run beside it.
type Alone struct {
	Task   job.TaskID
	Run    int64
	Worker external.WorkerID
	// Since is when the first member of the gang started. If the lease of a member has expired, it is a lease
	// before that. EndedAt is when this run ended.
	Since, EndedAt time.Duration
	// Tokens are the fencing tokens of the orders by which members started, in their order.
	Tokens []int64
	// Late is set if the network delayed an order to a member.
	Late bool
}

// gang is a run of a gang.
type gang struct {
	// members are its runs that are on machines.
	members []*taskRun
	// lost is set once a member's machine has restarted.
	lost   bool
	since  time.Duration
	tokens []int64
	late   bool
}

// TakeAlone returns the runs that ended alone since the last call. Members of gangs that lost a member with
// its machine are not among them.
func (f *Fleet) TakeAlone() []Alone {
	out := f.alone
	f.alone = nil
	return out
}

// endAlone ends a run whose gang is not complete in time, and with it the gang's other runs.
func (f *Fleet) endAlone(run *taskRun) {
	g := f.gangs[run.gang()]
	f.IncompleteGangs++
	if !g.lost {
		f.alone = append(f.alone, Alone{
			Task: run.task, Run: run.number, Worker: run.machine.ID, Since: g.since, EndedAt: f.now, Tokens: slices.Clone(g.tokens), Late: g.late,
		})
	}
	run.machine.end(run, external.EndedGangIncomplete)
	f.stopRestOfGang(run)
}

func (f *Fleet) joinGang(run *taskRun, token int64) {
	if !run.step.Gang {
		return
	}
	g := f.gangs[run.gang()]
	if g == nil {
		g = &gang{since: f.now}
		f.gangs[run.gang()] = g
	}
	g.members = append(g.members, run)
	g.late = g.late || f.OrderDelayed
	if !slices.Contains(g.tokens, token) {
		g.tokens = append(g.tokens, token)
	}
}

func (f *Fleet) leaveGang(run *taskRun) {
	g := f.gangs[run.gang()]
	if g == nil {
		return
	}
	g.members = slices.DeleteFunc(g.members, func(o *taskRun) bool { return o == run })
	if len(g.members) == 0 {
		delete(f.gangs, run.gang())
	}
}

// expireMember records that a member's lease has expired.
func (f *Fleet) expireMember(run *taskRun) {
	if g := f.gangs[run.gang()]; g != nil {
		g.since = max(g.since, f.now-MaxLease)
	}
}

// loseMember records that a member's machine restarts.
func (f *Fleet) loseMember(run *taskRun) {
	if g := f.gangs[run.gang()]; g != nil {
		g.lost = true
	}
	f.leaveGang(run)
}

// members returns the runs of the gang that are on machines.
func (f *Fleet) members(of *taskRun) []*taskRun {
	if g := f.gangs[of.gang()]; g != nil {
		return slices.Clone(g.members)
	}
	return nil
}

func (f *Fleet) gangComplete(run *taskRun) bool { return len(f.members(run)) == run.step.Count }
