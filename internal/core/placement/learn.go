package placement

import (
	"math"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

const (
	// learnWeight is the weight of the latest run in the running means.
	learnWeight = 0.2
	// learnLeast is how many runs must be seen before the least run time is trusted.
	learnLeast = 8
	// kindsMost bounds the kinds of work that are learned apart.
	kindsMost = 4096
	// guessRun is the run time assumed when nothing is known.
	guessRun = 10 * time.Second
)

type kindKey struct {
	account model.Account
	kind    model.Kind
}

// runStats is what was seen of the run times of one account's kind of work, as
// running means of the logarithm of seconds.
type runStats struct {
	n        int
	mean     float64
	variance float64
	// factor is the mean logarithm of actual over declared run time.
	factor float64
	// good is the running share of runs that did not fail.
	good float64
}

func (c *Core) stats(w *model.Work) *runStats {
	k := c.kindOf(w)
	s, ok := c.kinds[k]
	if !ok {
		s = &runStats{good: 1}
		c.kinds[k] = s
	}
	return s
}

// kindOf names what a piece of work is learned under. Kinds are named by callers,
// so those that come when many are known share one name for each account.
func (c *Core) kindOf(w *model.Work) kindKey {
	k := kindKey{account: w.Account, kind: w.Kind}
	if _, known := c.kinds[k]; known || len(c.kinds) < kindsMost {
		return k
	}
	return kindKey{account: w.Account}
}

// observe learns from the ending of a task.
func (c *Core) observe(t *task, end platform.Ending) {
	s := c.stats(&t.job.work)
	switch end.State {
	case platform.EndDone:
		s.good += learnWeight * (1 - s.good)
		s.learn(end.Ran, t.job.work.DeclaredRun)
		c.succeeded(t)
	case platform.EndFailed:
		c.failedOn(t, s)
		s.good -= learnWeight * s.good
	}
}

func (s *runStats) learn(ran, declared time.Duration) {
	weight := max(learnWeight, 1/float64(s.n+1))
	x := math.Log(max(ran, time.Millisecond).Seconds())
	diff := x - s.mean
	s.mean += weight * diff
	s.variance = (1 - weight) * (s.variance + weight*diff*diff)
	if declared > 0 {
		s.factor += weight * (x - math.Log(declared.Seconds()) - s.factor)
	}
	s.n++
}

// expected is the likely run time of a job.
func (c *Core) expected(j *job) time.Duration {
	s, seen := c.kinds[c.kindOf(&j.work)]
	if !seen || s.n == 0 {
		if j.work.DeclaredRun > 0 {
			return j.work.DeclaredRun
		}
		return guessRun
	}
	byKind := math.Exp(s.mean)
	if j.work.DeclaredRun <= 0 {
		return seconds(byKind)
	}
	return seconds(math.Sqrt(byKind * j.work.DeclaredRun.Seconds() * math.Exp(s.factor)))
}

// leastRun is a run time that the work is unlikely to beat; zero while too
// little is known.
func (c *Core) leastRun(w *model.Work) time.Duration {
	s, seen := c.kinds[c.kindOf(w)]
	if !seen || s.n < learnLeast {
		return 0
	}
	return seconds(math.Exp(s.mean - 3*math.Sqrt(s.variance)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
