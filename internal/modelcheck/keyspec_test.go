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
	{name: "takeover with a wait of three", spec: KeySpec{WaitTicks: 3, MaxTicks: 3}, limit: 500_000, whole: true},
	{name: "crash of a host", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxCrashes: 1}, limit: 500_000, whole: true},
	{name: "second claim", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, SecondClaim: true}, limit: 500_000, whole: true},
	{name: "restart of a worker, in part", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1}, limit: 100_000},
	{name: "takeover and a tick more", spec: KeySpec{WaitTicks: 1, MaxTicks: 2, MaxCrashes: 1, MaxDelayedHolds: 1}, limit: 20_000_000, whole: true, large: true},
	{name: "pauses and lost answers", spec: KeySpec{WaitTicks: 1, MaxTicks: 2, HostPauses: true, LostAnswers: true}, limit: 20_000_000, whole: true, large: true},
	{name: "restart of a worker", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, MaxCrashes: 1}, limit: 20_000_000, whole: true, large: true},
	{name: "two restarts", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 2}, limit: 20_000_000, large: true},
	{name: "second claim and a tick more", spec: KeySpec{WaitTicks: 1, MaxTicks: 2, SecondClaim: true}, limit: 20_000_000, large: true},
	{name: "listing apart from holds", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, SeparateList: true}, limit: 20_000_000, large: true},
}

func TestNoKeyRunsTwiceAndNotRunIsTrue(t *testing.T) {
	hit := make(map[string]int)
	for _, c := range keySizes {
		if c.large && !large() {
			continue
		}
		r := Explore(c.spec, c.limit)
		t.Logf("%s: %s", c.name, r)
		if r.Violation != "" {
			t.Errorf("%s: %s", c.name, r.Violation)
			logTrace(t, r)
		}
		if c.whole && !r.Complete {
			t.Errorf("%s: not whole after %d states", c.name, r.States)
		}
		for trap, n := range r.Scenarios {
			hit[trap] += n
		}
	}
	for _, trap := range KeyScenarios {
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
			KeySpec{WaitTicks: 1, MaxTicks: 2, CheckRunsOnly: true, Mutation: Mutation{NoFence: true}},
			"a non-idempotent key ran twice",
		},
		"listing before the fence": {
			KeySpec{WaitTicks: 1, MaxTicks: 1, CheckRunsOnly: true, Mutation: Mutation{ListBeforeFence: true}},
			"a non-idempotent key ran twice",
		},
		"no wait for old holds": {
			KeySpec{WaitTicks: 1, MaxTicks: 0, CheckRunsOnly: true, Mutation: Mutation{NoWait: true}},
			"a non-idempotent key ran twice",
		},
		"gaps in the history ignored": {
			KeySpec{WaitTicks: 1, MaxTicks: 1, CheckRunsOnly: true, Mutation: Mutation{IgnoreHistoryGap: true}},
			"a non-idempotent key ran twice",
		},
		"a start taken by another incarnation": {
			KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, CheckRunsOnly: true, Mutation: Mutation{StartAnyIncarnation: true}},
			"a non-idempotent key ran twice",
		},
		"a bar from a restarted worker taken as proof": {
			KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, Mutation: Mutation{TrustBarAfterRestart: true}},
			"a key that ran was told not_run",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := Explore(c.spec, 1_000_000)
			t.Logf("%s: %s", r, r.Violation)
			logTrace(t, r)
			if r.Violation != c.want {
				t.Errorf("found %q, want %q", r.Violation, c.want)
			}
		})
	}
}

func act(v ActionKind, host, worker, epoch uint8) Action {
	return Action{Kind: v, Host: host, Worker: worker, Epoch: epoch}
}

// TestFoundTraces walks ways to a broken promise that took the explorer millions
// of states to find. With the fault they break it; without, the last step differs.
func TestFoundTraces(t *testing.T) {
	cases := map[string]struct {
		spec  KeySpec
		fault Mutation
		want  string
		trace []Action
	}{
		"an owner that comes back asks only about its own start": {
			spec:  KeySpec{WaitTicks: 1, MaxTicks: 2, SecondClaim: true},
			fault: Mutation{KeepOldAttempts: true},
			want:  "a key that ran was told not_run",
			trace: []Action{
				act(CreateKey, 0, 0, 0), act(Submit, 0, 0, 0), act(SendStart, 0, 0, 0), act(Suspect, 1, 0, 0),
				act(Fence, 1, 0, 0), act(Hold, 0, 2, 0), act(SendClaim, 0, 0, 0), act(AppendClaim, 0, 0, 0),
				act(ReadClaim, 0, 0, 0), act(Fence, 1, 0, 0), act(Tick, 0, 0, 0), act(Fence, 1, 0, 0),
				act(Hold, 1, 0, 0), act(Fence, 0, 2, 0), act(Hold, 1, 0, 0), act(Fence, 0, 2, 0),
				act(Hold, 1, 0, 0), act(Submit, 1, 0, 0), act(SendStart, 1, 1, 0), act(DeliverStart, 0, 2, 2),
				act(Tick, 0, 0, 0), act(ScanTimeout, 0, 0, 0), act(Hold, 0, 0, 0), act(Hold, 0, 1, 0),
				act(Submit, 0, 0, 0), act(Resolve, 0, 1, 0),
			},
		},
		"a listing is taken before old holds have lapsed": {
			spec:  KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1},
			fault: Mutation{ListBeforeExpiry: true},
			want:  "a key that ran was told not_run",
			trace: []Action{
				act(Suspect, 1, 0, 0), act(Fence, 1, 0, 0), act(Fence, 1, 0, 0), act(Fence, 1, 0, 0),
				act(List, 1, 0, 0), act(RestartWorker, 0, 2, 0), act(CreateKey, 0, 0, 0), act(Submit, 0, 0, 0),
				act(Hold, 0, 2, 0), act(Fence, 0, 2, 0), act(SendStart, 0, 2, 0), act(Hold, 0, 2, 0),
				act(DeliverStart, 0, 2, 1), act(Tick, 0, 0, 0), act(Hold, 1, 0, 0), act(Hold, 1, 0, 0),
				act(Submit, 1, 0, 0), act(RejectQueued, 1, 0, 0),
			},
		},
		"an offer made before another owner's not_run is taken under a later epoch": {
			spec:  KeySpec{WaitTicks: 1, MaxTicks: 2, SecondClaim: true},
			fault: Mutation{SubmitAnyEpoch: true},
			want:  "a key that ran was told not_run",
			trace: []Action{
				act(CreateKey, 0, 0, 0), act(Submit, 0, 0, 0), act(RejectQueued, 0, 0, 0), act(Suspect, 1, 0, 0),
				act(Fence, 1, 0, 0), act(Hold, 0, 2, 0), act(SendClaim, 0, 0, 0), act(AppendClaim, 0, 0, 0),
				act(ReadClaim, 0, 0, 0), act(Fence, 0, 0, 0), act(Fence, 0, 0, 0), act(Tick, 0, 0, 0),
				act(Hold, 0, 0, 0), act(Hold, 0, 0, 0), act(Fence, 0, 2, 0), act(Hold, 0, 2, 0),
				act(DelayedSubmit, 0, 0, 0), act(SendStart, 0, 0, 0), act(DeliverStart, 0, 1, 3),
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := walk(c.spec, c.trace); got != "" {
				t.Errorf("broken without the fault: %s", got)
			}
			c.spec.Mutation = c.fault
			if got := walk(c.spec, c.trace); got != c.want {
				t.Errorf("with the fault: %q, want %q", got, c.want)
			}
		})
	}
}

// walk takes a trace and gives the first broken invariant.
func walk(k KeySpec, trace []Action) string {
	s := k.Initial()
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
		"offers not bound to an epoch":          {WaitTicks: 1, MaxTicks: 2, SecondClaim: true, Mutation: Mutation{SubmitAnyEpoch: true}},
		"holds given by another incarnation":    {WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, MaxDelayedHolds: 1, Mutation: Mutation{HoldAnyIncarnation: true}},
		"listing from before the last fence":    {WaitTicks: 1, MaxTicks: 1, MaxRestarts: 2, Mutation: Mutation{StaleListing: true}},
		"attempts of an earlier tenure trusted": {WaitTicks: 1, MaxTicks: 2, SecondClaim: true, Mutation: Mutation{KeepOldAttempts: true}},
	} {
		r := Explore(k, 12_000_000)
		t.Logf("%s: %s: %s", name, r, r.Violation)
		logTrace(t, r)
	}
}
