package blame

import (
	"slices"
	"testing"
	"time"
)

const s = time.Second

func TestCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		failures []time.Duration
		runs     []Run
		want     []int
	}{
		"a run that has just been started is to blame": {nil, []Run{{Age: 5 * s}, {Age: s / 100}}, []int{1}},
		"so are all that have just been started":       {nil, []Run{{Age: s / 100}, {Age: s}, {Age: 5 * s}}, []int{0, 1}},
		"without one, the youngest is":                 {nil, []Run{{Age: 9 * s}, {Age: 5 * s}}, []int{1}},
		"a suspect is to blame, and nobody beside it":  {nil, []Run{{Age: s / 100}, {Age: 6 * s, Crashes: 1}}, []int{1}},
		"an idle worker has nobody to blame":           {nil, nil, nil},
		"among many crashes only a start is to blame":  {[]time.Duration{10 * s, 10 * s, 10 * s, 10 * s}, []Run{{Age: s}, {Age: s / 100}}, []int{1}},
		"many crashes blame no older run":              {[]time.Duration{10 * s, 10 * s, 10 * s, 10 * s}, []Run{{Age: s}, {Age: 3 * s}}, nil},
		"crashes at other times are no burst":          {[]time.Duration{s, 3 * s, 5 * s, 10 * s}, []Run{{Age: s}}, []int{0}},
		"many crashes still blame a suspect":           {[]time.Duration{10 * s, 10 * s, 10 * s, 10 * s}, []Run{{Age: 3 * s, Crashes: 1}}, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			h := &History{}
			for _, f := range c.failures {
				h.WorkerFailed(f)
			}
			if got := h.Crashed(10*s, 48, c.runs); !slices.Equal(got, c.want) {
				t.Errorf("blamed %v, want %v", got, c.want)
			}
		})
	}
}

func TestGivesUp(t *testing.T) {
	for name, c := range map[string]struct {
		task        Task
		unexplained bool
		want        bool
	}{
		"not after one crash":                                  {Task{Crashes: 1, Alone: true, Started: true}, false, false},
		"after a second crash alone, at its start":             {Task{Crashes: 2, Alone: true, Started: true, Age: s / 10}, false, true},
		"not after a second crash in company":                  {Task{Crashes: 2, Started: true, Age: s / 10}, false, false},
		"not after a second crash late in its run":             {Task{Crashes: 2, Alone: true, Started: true, Age: s}, false, false},
		"not after two while workers crash for unknown causes": {Task{Crashes: 2, Alone: true, Started: true, Age: s / 10}, true, false},
		"not after a second crash that may be chance":          {Task{Crashes: 2, Alone: true, Started: true, Age: 4 * s / 10}, false, false},
		"not if the worker may have crashed before the order":  {Task{Crashes: 2, Alone: true, Age: s / 1000}, false, false},
		"after three in any case":                              {Task{Crashes: 3, Age: 9 * s}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := &History{}
			if c.unexplained {
				h.Crashed(10*s, 48, nil)
			}
			if got := h.GivesUp(12*s, c.task); got != c.want {
				t.Errorf("given up: %v, want %v", got, c.want)
			}
			if !h.GivesUp(30*s, Task{Crashes: 2, Alone: true, Started: true}) {
				t.Error("a crash of unknown cause counts for ever")
			}
		})
	}
}
