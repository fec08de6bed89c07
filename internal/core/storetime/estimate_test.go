package storetime

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestEstimateFollowsTheAnswers(t *testing.T) {
	type answer struct{ at, took time.Duration }
	for name, c := range map[string]struct {
		answers []answer
		at      time.Duration
		mean    time.Duration
		append  time.Duration
	}{
		"nothing is known at the start":        {nil, 0, 0, MinAppendTime},
		"the first answer is the mean":         {[]answer{{0, 10 * ms}}, 0, 10 * ms, MinAppendTime},
		"a later one is weighted":              {[]answer{{0, 10 * ms}, {time.Second, 110 * ms}}, time.Second, 50 * ms, MinAppendTime},
		"a slow store is given more time":      {[]answer{{0, 250 * ms}}, 0, 250 * ms, 1500 * ms},
		"but never a caller's whole time":      {[]answer{{0, 2000 * ms}}, 0, 2000 * ms, MaxAppendTime},
		"an old answer is not used":            {[]answer{{0, 250 * ms}}, 4 * time.Second, 0, MinAppendTime},
		"the next answer after it is the mean": {[]answer{{0, 250 * ms}, {4 * time.Second, 10 * ms}}, 4 * time.Second, 10 * ms, MinAppendTime},
	} {
		t.Run(name, func(t *testing.T) {
			var e Estimate
			for _, a := range c.answers {
				e.Answered(a.at, a.took)
			}
			if got := e.Mean(c.at); got != c.mean {
				t.Errorf("mean %v, want %v", got, c.mean)
			}
			if got := e.AppendTime(c.at); got != c.append {
				t.Errorf("append time %v, want %v", got, c.append)
			}
		})
	}
}

func TestAdoptedEstimateReplacesTheOwn(t *testing.T) {
	var e Estimate
	e.Answered(0, 10*ms)
	e.Adopt(time.Second, 0)
	if got := e.Mean(time.Second); got != 10*ms {
		t.Errorf("mean %v after a mean of 0 was adopted", got)
	}
	e.Adopt(time.Second, 200*ms)
	if got := e.Mean(time.Second); got != 200*ms {
		t.Errorf("mean %v, want 200ms", got)
	}
}
