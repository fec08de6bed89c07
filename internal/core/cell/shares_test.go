package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

const (
	smallAccounts = 10
	largeAccount  = "large"
	testOveruse   = 3
)

// accountPlay submits jobs of several accounts to a pool of eight workers and records when
// the tasks are started.
type accountPlay struct {
	*simulation
	submitted map[job.ID]time.Duration
	accounts  map[job.ID]string
	// waits holds how long each task waited for its first start, by account.
	waits map[string][]time.Duration
	// order holds the tasks in the order of their first starts.
	order []job.TaskID
}

func newAccountPlay(t *testing.T, seed uint64, overuse float64) *accountPlay {
	p := &accountPlay{
		simulation: newSimulation(t, seed, 8), submitted: make(map[job.ID]time.Duration),
		accounts: make(map[job.ID]string), waits: make(map[string][]time.Duration),
	}
	p.policy.Accounts = []job.Account{{Name: largeAccount, GuaranteedGPU: 4}}
	for n := range smallAccounts {
		p.policy.Accounts = append(p.policy.Accounts, job.Account{Name: smallAccount(n), GuaranteedGPU: 4})
	}
	p.onStart = func(o external.StartOrder) {
		if !slices.Contains(p.order, o.Task) {
			p.order = append(p.order, o.Task)
			a := p.accounts[o.Task.Job]
			p.waits[a] = append(p.waits[a], p.now-p.submitted[o.Task.Job])
		}
	}
	p.takeOverWith(overuse)
	p.run(100 * time.Millisecond)
	return p
}

func smallAccount(n int) string { return fmt.Sprintf("small-%d", n) }

func (p *accountPlay) takeOverWith(overuse float64) {
	p.takeOver().core.settings.AccountOveruse = overuse
}

// submitFor submits a job with four tasks for an account.
func (p *accountPlay) submitFor(account string) {
	j := oneStepJob(fmt.Sprintf("%s-%03d", account, len(p.jobs)), 4)
	j.Account = account
	p.submitted[j.ID], p.accounts[j.ID] = p.now, account
	p.submit(j)
}

// load submits jobs for a time. The pool serves about 9 jobs a second.
func (p *accountPlay) load(d time.Duration, jobsPerSecond float64, account func(*rand.Rand) string) {
	rng := rand.New(rand.NewPCG(uint64(len(p.jobs)), 7))
	for end := p.now + d; p.now < end; {
		p.submitFor(account(rng))
		p.run(time.Duration(rng.ExpFloat64() / jobsPerSecond * float64(time.Second)).Round(10 * time.Millisecond))
	}
}

// anySmall and mostlyLarge choose an account: one of the small ones, or the large one as
// often as all small ones together.
func anySmall(rng *rand.Rand) string { return smallAccount(rng.IntN(smallAccounts)) }

func mostlyLarge(rng *rand.Rand) string {
	if rng.IntN(2) == 0 {
		return largeAccount
	}
	return anySmall(rng)
}

// meanSmallWait returns how long the tasks of the small accounts waited on average.
func (p *accountPlay) meanSmallWait() time.Duration {
	sum, n := time.Duration(0), 0
	for n2 := range smallAccounts {
		for _, w := range p.waits[smallAccount(n2)] {
			sum += w
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// shareReports returns the reports about shares of accounts.
func (p *accountPlay) shareReports() []string {
	return slices.DeleteFunc(slices.Clone(p.reports), func(r string) bool { return !strings.Contains(r, "Share:") })
}

// Guards against an account with ten times the demand of the others taking the whole pool:
// in the order of deadlines alone its backlog delays all of them.
func TestLargeAccountDoesNotDelayTheOthers(t *testing.T) {
	for seed := range uint64(3) {
		wait := make(map[float64]time.Duration)
		for _, overuse := range []float64{0, testOveruse} {
			p := newAccountPlay(t, seed, overuse)
			p.load(12*time.Second, 16, mostlyLarge)
			p.runUntilDone(2 * time.Minute)
			p.check()
			wait[overuse] = p.meanSmallWait()
			if over := len(p.shareReports()) > 0; over != (overuse > 0) {
				t.Errorf("seed %d: overuse %g reported %q", seed, overuse, p.shareReports())
			}
		}
		t.Logf("seed %d: tasks of small accounts waited %v with deadlines alone, %v with shares", seed, wait[0], wait[testOveruse])
		if wait[testOveruse] > wait[0]/2 {
			t.Errorf("seed %d: tasks of small accounts waited %v, without shares %v", seed, wait[testOveruse], wait[0])
		}
	}
}

// Guards against a changed order where accounts are alike, even in an overloaded pool.
func TestAlikeAccountsKeepTheOrder(t *testing.T) {
	for seed := range uint64(3) {
		var orders [][]job.TaskID
		for _, overuse := range []float64{0, testOveruse} {
			p := newAccountPlay(t, seed, overuse)
			p.load(8*time.Second, 14, anySmall)
			p.runUntilDone(time.Minute)
			p.check()
			orders = append(orders, p.order)
			if r := p.shareReports(); len(r) > 0 {
				t.Errorf("seed %d: %q", seed, r)
			}
		}
		if !slices.Equal(orders[0], orders[1]) {
			t.Errorf("seed %d: tasks were started in another order", seed)
		}
	}
}

// Guards against a new owner that does not know the usage: it has only the runs that it
// adopts.
func TestNewOwnerFindsTheLargeAccount(t *testing.T) {
	p := newAccountPlay(t, 5, testOveruse)
	for range 40 {
		p.submitFor(largeAccount)
	}
	p.run(time.Second)
	p.takeOverWith(testOveruse)
	taken := p.now
	for p.now < taken+8*time.Second && p.current().core.AccountsOverShare() == 0 {
		p.submitFor(smallAccount(len(p.jobs) % smallAccounts))
		p.run(500 * time.Millisecond)
	}
	if n := p.current().core.AccountsOverShare(); n != 1 {
		t.Errorf("%d accounts are over their share %v after the takeover", n, p.now-taken)
	}
	p.runUntilDone(2 * time.Minute)
	p.check()
}

// Guards against an order that breaks a guarantee of the cell when calls are lost, a worker is cut
// off and owners change, and against work that never ends.
func TestInvariantsHoldWithShares(t *testing.T) {
	for seed := range uint64(20) {
		p := newAccountPlay(t, seed, testOveruse)
		p.lossRate, p.lateRate = 0.05, 0.02
		p.load(3*time.Second, 16, mostlyLarge)
		p.unreachable["w03"] = true
		p.load(3*time.Second, 16, mostlyLarge)
		p.takeOverWith(testOveruse)
		p.unreachable["w03"] = false
		p.load(2*time.Second, 16, mostlyLarge)
		p.lossRate, p.lateRate = 0, 0
		p.runUntilDone(3 * time.Minute)
		p.check()
	}
}

// Guards against starvation: a job that has waited for two objectives is not held back any
// more, unless it is stale, and guaranteed urgent work never is.
func TestWorkThatIsNotHeldBack(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*job.Job)
		age    time.Duration
		held   bool
	}{
		"work beyond the share":        {func(*job.Job) {}, time.Second, true},
		"work that waited for long":    {func(*job.Job) {}, 16 * time.Second, false},
		"work of no use any more":      {func(*job.Job) {}, time.Minute, true},
		"guaranteed urgent work":       {func(j *job.Job) { j.Queue.Priority = 0 }, time.Second, false},
		"urgent work beyond guarantee": {func(j *job.Job) { j.Queue.Priority, j.Steps[0].Count = 0, 40 }, time.Second, true},
		"work without competition":     {func(j *job.Job) { j.Queue.Pool = "other" }, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newAccountPlay(t, 5, testOveruse)
			for range 40 {
				p.submitFor(largeAccount)
			}
			p.run(4 * time.Second)
			other := oneStepJob("other", 80)
			other.Account = smallAccount(0)
			late := oneStepJob("late", 1)
			late.Account = largeAccount
			c.change(&late)
			other.Queue.Priority = late.Queue.Priority
			other.SubmittedMS, late.SubmittedMS = p.now.Milliseconds(), (p.now - c.age).Milliseconds()
			core := p.current().core
			p.step(p.current(), Submitted{Job: other})
			p.run(time.Second)
			late.SubmittedMS += time.Second.Milliseconds()
			p.step(p.current(), Submitted{Job: late})
			for _, g := range core.newPass().ready {
				if g.occ.entry.job.ID == late.ID && (g.rank.Overuse > 0) != c.held {
					t.Errorf("rank %+v", g.rank)
				}
			}
		})
	}
}

// BenchmarkPassWithShares measures a placement pass as BenchmarkPassOverFullPool does, with ten
// accounts, one of which is over its share, and without shares.
func BenchmarkPassWithShares(b *testing.B) {
	for _, overuse := range []float64{0, testOveruse} {
		b.Run(fmt.Sprintf("overuse=%g", overuse), func(b *testing.B) {
			c := fullCell(350, 200)
			c.settings.AccountOveruse = overuse
			for n, e := range c.openJobs {
				e.job.Account = smallAccount(n % smallAccounts)
			}
			for n, w := range c.fleet {
				for _, r := range w.runs { // jobs 0, 10, 20 and so on are of the first account
					r.task.Job = c.openJobs[n*smallAccounts%len(c.openJobs)].job.ID
				}
			}
			now := c.now
			b.ReportAllocs()
			for b.Loop() {
				now.Mono += 60 * time.Millisecond
				c.placementDue, c.termConfirmedAt = true, now.Mono
				c.Step(now, Tick{})
			}
		})
	}
}
