package placement

import (
	"cmp"
	"math"
	"time"
)

// shareSteps is how finely accounts' shares are told apart; closer ones tie.
const shareSteps = 16

// ageWorth is how many steps of share the wait agedAfter is worth.
const ageWorth = 4

// batchSteps is how many steps of share batch work stands behind other work.
const batchSteps = shareSteps

// score is a queue's place in the order of a pass; the lowest goes first.
type score struct {
	rank  int
	share int
	run   int
	seq   uint64
}

// The ranks of OrderFair, first to last. Aged and batch work has ranks of its own
// only under AgeRank.
const (
	rankUrgent = iota
	rankEntitled
	rankAged
	rankNormal
	rankBatch
)

func (a score) compare(b score) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.share, b.share),
		cmp.Compare(a.run, b.run),
		cmp.Compare(a.seq, b.seq),
	)
}

func (c *Core) scoreOf(q *queue, j *job) score {
	if c.policy.Order != OrderFair {
		return score{seq: j.seq}
	}
	s := score{rank: c.rankOf(q, j), seq: j.seq}
	if s.rank == rankAged {
		return s
	}
	s.share = int(c.share(q.acc) * shareSteps)
	if !c.policy.AgeRank {
		s.share -= c.ageSteps(j)
		if q.demand.class == batchClass {
			s.share += batchSteps
		}
	}
	s.run = c.runStep(j)
	return s
}

func (c *Core) rankOf(q *queue, j *job) int {
	switch {
	case q.demand.class == urgentClass:
		return rankUrgent
	case c.withinEntitlement(q):
		return rankEntitled
	case !c.policy.AgeRank:
		return rankNormal
	case c.now.Sub(j.queuedAt) >= c.agedAfter(j):
		return rankAged
	case q.demand.class == batchClass:
		return rankBatch
	}
	return rankNormal
}

// ageSteps is how many steps of its account's share the job's wait makes up for.
func (c *Core) ageSteps(j *job) int {
	return int(ageWorth * float64(c.now.Sub(j.queuedAt)) / float64(max(1, c.agedAfter(j))))
}

// agedAfter is the wait that makes up for ageWorth steps of share.
func (c *Core) agedAfter(j *job) time.Duration {
	longest := c.conf.longestWait(j.work.Account, j.work.Kind)
	return min(c.conf.def.LargeWait.D(), longest/2)
}

// runStep is the power of two of the expected work, less one step for each
// time that the wait has outgrown it.
func (c *Core) runStep(j *job) int {
	run := c.expected(j)
	if !c.policy.ShortFirst {
		run *= time.Duration(area(j))
	}
	wait := c.now.Sub(j.queuedAt)
	return int(math.Log2(1 + float64(run)/float64(time.Millisecond)/(1+float64(wait)/float64(max(run, time.Millisecond)))))
}

// withinEntitlement reports whether the queue's next job fits into what its
// account is entitled to and does not hold.
func (c *Core) withinEntitlement(q *queue) bool {
	ent := q.acc.entitled
	if ent.IsZero() {
		return false
	}
	return q.demand.shape.Times(q.demand.members).Fits(ent.Sub(q.acc.used))
}

// area is how many accelerators the job takes, at least 1.
func area(j *job) int { return max(1, j.work.Total().Accelerators) }
