package modelcheck

import (
	"os"
	"testing"
)

// largeEnv is the environment variable that, when set to "large", enables the
// explorations that take minutes.
const largeEnv = "COLTSFOOTMUX_MODEL"

func large() bool { return os.Getenv(largeEnv) == "large" }

func logTrace(t *testing.T, r Report) {
	t.Helper()
	for i, a := range r.Trace {
		t.Logf("%2d %s", i+1, a)
	}
}

// keyCases are the sizes of the key specification that are explored. Those that run
// in CI are explored completely, except for the one with restarts, which is explored
// up to its limit of states.
var keyCases = []struct {
	name     string
	spec     KeySpec
	limit    int
	complete bool
	large    bool
}{
	{name: "takeover with a wait of three", spec: KeySpec{WaitTicks: 3, MaxTicks: 3}, limit: 500_000, complete: true},
	{name: "crash of a host", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxCrashes: 1}, limit: 500_000, complete: true},
	{name: "second claim", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, SecondClaim: true}, limit: 500_000, complete: true},
	{name: "restart of a worker, incomplete", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1}, limit: 100_000},
	{name: "takeover and one more tick", spec: KeySpec{WaitTicks: 1, MaxTicks: 2, MaxCrashes: 1, MaxDelayedHolds: 1}, limit: 20_000_000, complete: true, large: true},
	{name: "pauses and lost answers", spec: KeySpec{WaitTicks: 1, MaxTicks: 2, HostPauses: true, LostAnswers: true}, limit: 20_000_000, complete: true, large: true},
	{name: "restart of a worker", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, MaxCrashes: 1}, limit: 20_000_000, complete: true, large: true},
	{name: "two restarts", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 2}, limit: 20_000_000, large: true},
	{name: "second claim and one more tick", spec: KeySpec{WaitTicks: 1, MaxTicks: 2, SecondClaim: true}, limit: 20_000_000, large: true},
	{name: "listing separate from holds", spec: KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, SeparateList: true}, limit: 20_000_000, large: true},
}

func TestKeyRunsAtMostOnceAndOutcomesAreTrue(t *testing.T) {
	reached := make(map[string]int)
	for _, c := range keyCases {
		if c.large && !large() {
			continue
		}
		r := Explore(c.spec, c.limit)
		t.Logf("%s: %s", c.name, r)
		if r.Violation != "" {
			t.Errorf("%s: %s", c.name, r.Violation)
			logTrace(t, r)
		}
		if c.complete && !r.Complete {
			t.Errorf("%s: exploration incomplete after %d states", c.name, r.States)
		}
		for scenario, n := range r.Scenarios {
			reached[scenario] += n
		}
	}
	for _, scenario := range KeyScenarios {
		t.Logf("%8d states: %s", reached[scenario], scenario)
		if reached[scenario] == 0 {
			t.Errorf("scenario not reached: %s", scenario)
		}
	}
}

// TestEachKeyMutationIsFound leaves out one part of the protocol at a time. The
// exploration must then find a violation.
func TestEachKeyMutationIsFound(t *testing.T) {
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
		"a start accepted by another incarnation": {
			KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, CheckRunsOnly: true, Mutation: Mutation{StartAnyIncarnation: true}},
			"a non-idempotent key ran twice",
		},
		"the barring of a start by a restarted worker taken as proof": {
			KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, Mutation: Mutation{TrustBarAfterRestart: true}},
			"the outcome of a key that ran is not_run",
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

func action(kind ActionKind, host, worker, epoch uint8) Action {
	return Action{Kind: kind, Host: host, Worker: worker, Epoch: epoch}
}

// TestRecordedTracesFindMutations replays traces to violations that took the
// explorer millions of states to find. With the mutation the trace must violate the
// invariant; without it, the trace must not.
func TestRecordedTracesFindMutations(t *testing.T) {
	cases := map[string]struct {
		spec     KeySpec
		mutation Mutation
		want     string
		trace    []Action
	}{
		"an owner that regains the group resolves only its own start": {
			spec:     KeySpec{WaitTicks: 1, MaxTicks: 2, SecondClaim: true},
			mutation: Mutation{KeepOldAttempts: true},
			want:     "the outcome of a key that ran is not_run",
			trace: []Action{
				action(CreateKey, 0, 0, 0), action(Submit, 0, 0, 0), action(SendStart, 0, 0, 0), action(Suspect, 1, 0, 0),
				action(Fence, 1, 0, 0), action(Hold, 0, 2, 0), action(SendClaim, 0, 0, 0), action(AppendClaim, 0, 0, 0),
				action(ReadClaim, 0, 0, 0), action(Fence, 1, 0, 0), action(Tick, 0, 0, 0), action(Fence, 1, 0, 0),
				action(Hold, 1, 0, 0), action(Fence, 0, 2, 0), action(Hold, 1, 0, 0), action(Fence, 0, 2, 0),
				action(Hold, 1, 0, 0), action(Submit, 1, 0, 0), action(SendStart, 1, 1, 0), action(DeliverStart, 0, 2, 2),
				action(Tick, 0, 0, 0), action(ScanTimeout, 0, 0, 0), action(Hold, 0, 0, 0), action(Hold, 0, 1, 0),
				action(Submit, 0, 0, 0), action(Resolve, 0, 1, 0),
			},
		},
		"a worker is listed before old holds have expired": {
			spec:     KeySpec{WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1},
			mutation: Mutation{ListBeforeExpiry: true},
			want:     "the outcome of a key that ran is not_run",
			trace: []Action{
				action(Suspect, 1, 0, 0), action(Fence, 1, 0, 0), action(Fence, 1, 0, 0), action(Fence, 1, 0, 0),
				action(List, 1, 0, 0), action(RestartWorker, 0, 2, 0), action(CreateKey, 0, 0, 0), action(Submit, 0, 0, 0),
				action(Hold, 0, 2, 0), action(Fence, 0, 2, 0), action(SendStart, 0, 2, 0), action(Hold, 0, 2, 0),
				action(DeliverStart, 0, 2, 1), action(Tick, 0, 0, 0), action(Hold, 1, 0, 0), action(Hold, 1, 0, 0),
				action(Submit, 1, 0, 0), action(RejectQueued, 1, 0, 0),
			},
		},
		"a submission made before another owner's not_run is accepted under a later epoch": {
			spec:     KeySpec{WaitTicks: 1, MaxTicks: 2, SecondClaim: true},
			mutation: Mutation{SubmitAnyEpoch: true},
			want:     "the outcome of a key that ran is not_run",
			trace: []Action{
				action(CreateKey, 0, 0, 0), action(Submit, 0, 0, 0), action(RejectQueued, 0, 0, 0), action(Suspect, 1, 0, 0),
				action(Fence, 1, 0, 0), action(Hold, 0, 2, 0), action(SendClaim, 0, 0, 0), action(AppendClaim, 0, 0, 0),
				action(ReadClaim, 0, 0, 0), action(Fence, 0, 0, 0), action(Fence, 0, 0, 0), action(Tick, 0, 0, 0),
				action(Hold, 0, 0, 0), action(Hold, 0, 0, 0), action(Fence, 0, 2, 0), action(Hold, 0, 2, 0),
				action(DelayedSubmit, 0, 0, 0), action(SendStart, 0, 0, 0), action(DeliverStart, 0, 1, 3),
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := runTrace(c.spec, c.trace); got != "" {
				t.Errorf("violation without the mutation: %s", got)
			}
			c.spec.Mutation = c.mutation
			if got := runTrace(c.spec, c.trace); got != c.want {
				t.Errorf("with the mutation: %q, want %q", got, c.want)
			}
		})
	}
}

// runTrace executes the actions of a trace and returns the first violated invariant.
func runTrace(k KeySpec, trace []Action) string {
	s := k.Initial()
	for _, a := range trace {
		s, _ = k.Do(s, a).canonical()
		if broken := k.Check(s); broken != "" {
			return broken
		}
	}
	return ""
}

// TestDeepMutations explores mutations that need many states and logs the result.
func TestDeepMutations(t *testing.T) {
	if !large() {
		t.Skip("set " + largeEnv + "=large")
	}
	for name, k := range map[string]KeySpec{
		"submissions not bound to an epoch":     {WaitTicks: 1, MaxTicks: 2, SecondClaim: true, Mutation: Mutation{SubmitAnyEpoch: true}},
		"holds granted by another incarnation":  {WaitTicks: 1, MaxTicks: 1, MaxRestarts: 1, MaxDelayedHolds: 1, Mutation: Mutation{HoldAnyIncarnation: true}},
		"listing from before the last fence":    {WaitTicks: 1, MaxTicks: 1, MaxRestarts: 2, Mutation: Mutation{StaleListing: true}},
		"attempts of an earlier tenure trusted": {WaitTicks: 1, MaxTicks: 2, SecondClaim: true, Mutation: Mutation{KeepOldAttempts: true}},
	} {
		r := Explore(k, 12_000_000)
		t.Logf("%s: %s: %s", name, r, r.Violation)
		logTrace(t, r)
	}
}
