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
		last         Crash
		startCrashes int
		want         bool
	}{
		"not after one crash at its start":                    {Crash{Age: s / 100, Started: true, Youngest: true}, 1, false},
		"after a second one":                                  {Crash{Age: s / 100, Started: true, Youngest: true}, 2, true},
		"not while another task has just been started there":  {Crash{Age: s / 100, Started: true}, 2, false},
		"not after a crash that may be chance":                {Crash{Age: 4 * s / 10, Started: true, Youngest: true}, 2, false},
		"nor after one late in the run":                       {Crash{Age: 9 * s, Started: true, Youngest: true}, 9, false},
		"not if the worker may have crashed before the order": {Crash{Age: s / 1000, Youngest: true}, 2, false},
		"after a trial whose worker fell silent at once":      {Crash{Age: 2 * s, Probed: true, Started: true, Youngest: true}, 2, true},
		"not if that worker answered for longer":              {Crash{Age: 2 * s, Probed: true, Lived: s, Started: true, Youngest: true}, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := &History{}
			if got := h.GivesUp(100*s, Pool{Workers: 48}, c.last, c.startCrashes); got != c.want {
				t.Errorf("given up: %v, want %v", got, c.want)
			}
		})
	}
}

func TestMoreCrashesAreNeededAmidOthers(t *testing.T) {
	last := Crash{Age: s / 100, Started: true, Youngest: true}
	h := &History{}
	for range 20 {
		h.Unexplained(90 * s)
	}
	small, large := Pool{Workers: 48}, Pool{Workers: 100}
	if h.GivesUp(95*s, small, last, 2) || !h.GivesUp(95*s, small, last, 3) {
		t.Error("while two fifths of the workers crash for other reasons, three crashes are needed")
	}
	if !h.GivesUp(95*s, large, last, 2) || !h.GivesUp(101*s, small, last, 2) {
		t.Error("in a large pool, and ten seconds later, two are enough")
	}
	if h.GivesUp(101*s, Pool{Workers: 48, Started: 20}, last, 2) {
		t.Error("after two fifths of the workers have been started again, three crashes are needed")
	}
}

func TestIsYoungest(t *testing.T) {
	runs := []Run{{Age: s / 100}, {Age: 5 * s, Unit: 1}}
	if !IsYoungest(runs, 0) || IsYoungest(runs, 1) || IsYoungest([]Run{{Age: s / 100}, {Age: s / 10, Unit: 1}}, 0) {
		t.Error("a run that was started lately explains the crash as well")
	}
	if !IsYoungest([]Run{{Age: s / 100}, {Age: s / 100}}, 0) {
		t.Error("the members of a gang are started together")
	}
}
