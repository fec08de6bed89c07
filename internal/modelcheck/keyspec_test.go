package modelcheck

import (
	"os"
	"testing"
)

// largeEnv, when set to "large", runs the sizes that take minutes.
const largeEnv = "COLTSFOOTMUX_MODEL"

func large() bool { return os.Getenv(largeEnv) == "large" }

func logTrace(t *testing.T, r Report) {
	t.Helper()
	for i, a := range r.Trace {
		t.Logf("%2d %s", i+1, a)
	}
}

// keySizes are the sizes explored. Those in CI are whole, but for the one with
// restarts, which is walked as deep as its limit of states allows.
var keySizes = []struct {
	name  string
	spec  KeySpec
	limit int
	whole bool
	large bool
}{
	{name: "takeover with a wait of three", spec: KeySpec{Wait: 3, Ticks: 3}, limit: 500_000, whole: true},
	{name: "crash of a host", spec: KeySpec{Wait: 1, Ticks: 1, Crashes: 1}, limit: 500_000, whole: true},
	{name: "second claim", spec: KeySpec{Wait: 1, Ticks: 1, Claims: true}, limit: 500_000, whole: true},
	{name: "restart of a worker, in part", spec: KeySpec{Wait: 1, Ticks: 1, Restarts: 1}, limit: 100_000},
	{name: "takeover and a tick more", spec: KeySpec{Wait: 1, Ticks: 2, Crashes: 1, LateHolds: 1}, limit: 20_000_000, whole: true, large: true},
	{name: "pauses and lost answers", spec: KeySpec{Wait: 1, Ticks: 2, Pauses: true, Losses: true}, limit: 20_000_000, whole: true, large: true},
	{name: "restart of a worker", spec: KeySpec{Wait: 1, Ticks: 1, Restarts: 1, Crashes: 1}, limit: 20_000_000, whole: true, large: true},
	{name: "two restarts", spec: KeySpec{Wait: 1, Ticks: 1, Restarts: 2}, limit: 20_000_000, large: true},
	{name: "second claim and a tick more", spec: KeySpec{Wait: 1, Ticks: 2, Claims: true}, limit: 20_000_000, large: true},
	{name: "listing apart from holds", spec: KeySpec{Wait: 1, Ticks: 1, Restarts: 1, Split: true}, limit: 20_000_000, large: true},
}

func TestNoKeyRunsTwiceAndNotRunIsTrue(t *testing.T) {
	hit := make(map[string]int)
	for _, c := range keySizes {
		if c.large && !large() {
			continue
		}
		r := Explore(c.spec, c.limit)
		t.Logf("%s: %s", c.name, r)
		if r.Broken != "" {
			t.Errorf("%s: %s", c.name, r.Broken)
			logTrace(t, r)
		}
		if c.whole && !r.Whole {
			t.Errorf("%s: not whole after %d states", c.name, r.States)
		}
		for trap, n := range r.Traps {
			hit[trap] += n
		}
	}
	for _, trap := range KeyTraps {
		t.Logf("%8d states: %s", hit[trap], trap)
		if hit[trap] == 0 {
			t.Errorf("not reached: %s", trap)
		}
	}
}

// TestEachFaultIsFound takes one part of the protocol away at a time. The check
// must then find a broken promise.
func TestEachFaultIsFound(t *testing.T) {
	cases := map[string]struct {
		spec KeySpec
		want string
	}{
		"no fence": {
			KeySpec{Wait: 1, Ticks: 2, OnlyRuns: true, Faulty: Faulty{NoFence: true}},
			"a non-idempotent key ran twice",
		},
		"listing before the fence": {
			KeySpec{Wait: 1, Ticks: 1, OnlyRuns: true, Faulty: Faulty{ListFirst: true}},
			"a non-idempotent key ran twice",
		},
		"no wait for old holds": {
			KeySpec{Wait: 1, Ticks: 0, OnlyRuns: true, Faulty: Faulty{NoWait: true}},
			"a non-idempotent key ran twice",
		},
		"gaps in the history ignored": {
			KeySpec{Wait: 1, Ticks: 1, OnlyRuns: true, Faulty: Faulty{NoGap: true}},
			"a non-idempotent key ran twice",
		},
		"a start taken by another incarnation": {
			KeySpec{Wait: 1, Ticks: 1, Restarts: 1, OnlyRuns: true, Faulty: Faulty{StartAnywhere: true}},
			"a non-idempotent key ran twice",
		},
		"a bar from a restarted worker taken as proof": {
			KeySpec{Wait: 1, Ticks: 1, Restarts: 1, Faulty: Faulty{TrustBar: true}},
			"a key that ran was told not_run",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := Explore(c.spec, 1_000_000)
			t.Logf("%s: %s", r, r.Broken)
			logTrace(t, r)
			if r.Broken != c.want {
				t.Errorf("found %q, want %q", r.Broken, c.want)
			}
		})
	}
}

func act(v Verb, host, worker, epoch uint8) Action {
	return Action{Verb: v, Host: host, Worker: worker, Epoch: epoch}
}

// TestFoundTraces walks ways to a broken promise that took the explorer millions
// of states to find. With the fault they break it; without, the last step differs.
func TestFoundTraces(t *testing.T) {
	cases := map[string]struct {
		spec  KeySpec
		fault Faulty
		want  string
		trace []Action
	}{
		"an owner that comes back asks only about its own start": {
			spec:  KeySpec{Wait: 1, Ticks: 2, Claims: true},
			fault: Faulty{KeepTraces: true},
			want:  "a key that ran was told not_run",
			trace: []Action{
				act(Make, 0, 0, 0), act(Offer, 0, 0, 0), act(Begin, 0, 0, 0), act(Suspect, 1, 0, 0),
				act(Fence, 1, 0, 0), act(Hold, 0, 2, 0), act(Append, 0, 0, 0), act(Land, 0, 0, 0),
				act(Read, 0, 0, 0), act(Fence, 1, 0, 0), act(Tick, 0, 0, 0), act(Fence, 1, 0, 0),
				act(Hold, 1, 0, 0), act(Fence, 0, 2, 0), act(Hold, 1, 0, 0), act(Fence, 0, 2, 0),
				act(Hold, 1, 0, 0), act(Offer, 1, 0, 0), act(Begin, 1, 1, 0), act(Deliver, 0, 2, 2),
				act(Tick, 0, 0, 0), act(TimeOut, 0, 0, 0), act(Hold, 0, 0, 0), act(Hold, 0, 1, 0),
				act(Offer, 0, 0, 0), act(Ask, 0, 1, 0),
			},
		},
		"a listing is taken before old holds have lapsed": {
			spec:  KeySpec{Wait: 1, Ticks: 1, Restarts: 1},
			fault: Faulty{ListEarly: true},
			want:  "a key that ran was told not_run",
			trace: []Action{
				act(Suspect, 1, 0, 0), act(Fence, 1, 0, 0), act(Fence, 1, 0, 0), act(Fence, 1, 0, 0),
				act(List, 1, 0, 0), act(RestartWorker, 0, 2, 0), act(Make, 0, 0, 0), act(Offer, 0, 0, 0),
				act(Hold, 0, 2, 0), act(Fence, 0, 2, 0), act(Begin, 0, 2, 0), act(Hold, 0, 2, 0),
				act(Deliver, 0, 2, 1), act(Tick, 0, 0, 0), act(Hold, 1, 0, 0), act(Hold, 1, 0, 0),
				act(Offer, 1, 0, 0), act(GiveUp, 1, 0, 0),
			},
		},
		"an offer made before another owner's not_run is taken under a later epoch": {
			spec:  KeySpec{Wait: 1, Ticks: 2, Claims: true},
			fault: Faulty{AnyEpoch: true},
			want:  "a key that ran was told not_run",
			trace: []Action{
				act(Make, 0, 0, 0), act(Offer, 0, 0, 0), act(GiveUp, 0, 0, 0), act(Suspect, 1, 0, 0),
				act(Fence, 1, 0, 0), act(Hold, 0, 2, 0), act(Append, 0, 0, 0), act(Land, 0, 0, 0),
				act(Read, 0, 0, 0), act(Fence, 0, 0, 0), act(Fence, 0, 0, 0), act(Tick, 0, 0, 0),
				act(Hold, 0, 0, 0), act(Hold, 0, 0, 0), act(Fence, 0, 2, 0), act(Hold, 0, 2, 0),
				act(LateOffer, 0, 0, 0), act(Begin, 0, 0, 0), act(Deliver, 0, 1, 3),
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := walk(c.spec, c.trace); got != "" {
				t.Errorf("broken without the fault: %s", got)
			}
			c.spec.Faulty = c.fault
			if got := walk(c.spec, c.trace); got != c.want {
				t.Errorf("with the fault: %q, want %q", got, c.want)
			}
		})
	}
}

// walk takes a trace and gives the first broken invariant.
func walk(k KeySpec, trace []Action) string {
	s := k.First()
	for _, a := range trace {
		s, _ = k.Do(s, a).canon()
		if broken := k.Check(s); broken != "" {
			return broken
		}
	}
	return ""
}

// TestDeepFaults explores faults that need many states.
func TestDeepFaults(t *testing.T) {
	if !large() {
		t.Skip("set " + largeEnv + "=large")
	}
	for name, k := range map[string]KeySpec{
		"offers not bound to an epoch":          {Wait: 1, Ticks: 2, Claims: true, Faulty: Faulty{AnyEpoch: true}},
		"holds given by another incarnation":    {Wait: 1, Ticks: 1, Restarts: 1, LateHolds: 1, Faulty: Faulty{AnyIncarnation: true}},
		"listing from before the last fence":    {Wait: 1, Ticks: 1, Restarts: 2, Faulty: Faulty{StaleListing: true}},
		"attempts of an earlier tenure trusted": {Wait: 1, Ticks: 2, Claims: true, Faulty: Faulty{KeepTraces: true}},
	} {
		r := Explore(k, 12_000_000)
		t.Logf("%s: %s: %s", name, r, r.Broken)
		logTrace(t, r)
	}
}
