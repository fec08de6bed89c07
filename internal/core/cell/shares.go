package cell

import (
	"time"

	"coltsfootmux/internal/core/lag"
	"coltsfootmux/internal/core/share"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/overview"
)

const (
	// usageInterval is the time between two readings of the accounts' runs. Runs take
	// seconds, and a reading visits each of them.
	usageInterval = 250 * time.Millisecond
	// maxBehindObjectives is how many of its objectives a job may wait behind work of
	// other accounts. An account that stays over its share would otherwise starve.
	maxBehindObjectives = 2
)

// accountShares is what the cell knows of the accounts' shares of the workers.
type accountShares struct {
	// accounts is nil until the first reading, and if AccountOveruse is 0.
	accounts *share.Accounts
	// policy is the policy whose guarantees accounts has.
	policy   *job.Policy
	nextRead time.Duration
}

// AccountShareChanged reports, for the log, that an account is over its share, or no
// longer.
type AccountShareChanged struct{ share.Change }

func (AccountShareChanged) action() {}

// readUsage reads what the runs of each account use, if it is time.
func (c *Core) readUsage() {
	s := &c.shares
	if c.settings.AccountOveruse == 0 || c.now.Mono < s.nextRead {
		return
	}
	s.nextRead = c.now.Mono + lag.ReviewInterval(len(c.fleet), usageInterval)
	if s.accounts == nil {
		s.accounts = share.New(c.now.Mono)
	}
	if s.policy != c.policy {
		s.policy = c.policy
		s.accounts.SetGuarantees(guaranteesOf(c.policy))
	}
	at, capacity := make(map[*jobEntry]int), 0.0
	var uses []share.Use
	for _, w := range c.fleet {
		capacity += w.Capacity.Cores()
		for _, r := range w.runs {
			e := c.entryOf(r)
			if e == nil {
				continue
			}
			n, ok := at[e]
			if !ok {
				n = len(uses)
				at[e] = n
				uses = append(uses, share.Use{Account: e.job.Account, Job: string(e.job.ID)})
			}
			uses[n].Cores += r.resources.Cores()
		}
	}
	s.accounts.Update(c.now.Mono, uses, capacity)
}

// entryOf returns the job of a run, or nil if it is not known.
func (c *Core) entryOf(r *run) *jobEntry {
	if r.unit != nil {
		return r.unit.entry()
	}
	return c.jobs[r.task.Job]
}

func guaranteesOf(p *job.Policy) map[string]int {
	out := make(map[string]int)
	for i := range p.Accounts {
		out[p.Accounts[i].Name] = p.Accounts[i].GuaranteedGPU
	}
	return out
}

// rankByShare puts the work of accounts that are over their share behind that of other
// accounts. Entitled work and work that has waited for long keep their place. Stale work does not: it comes
// last as it is, and would otherwise come before work of its account that can still be in time.
func (c *Core) rankByShare(p *pass) {
	s := &c.shares
	if s.accounts == nil || s.accounts.Quiet(c.settings.AccountOveruse) {
		return
	}
	order, changes := s.accounts.Decide(c.now.Mono, c.settings.AccountOveruse, c.waitingWork(p))
	for _, ch := range changes {
		c.emit(AccountShareChanged{ch})
	}
	for _, g := range p.ready {
		if !g.rank.Entitled && (g.rank.Stale || !c.hasWaitedLong(g)) {
			g.rank.Overuse = order.Overuse(g.occ.entry.job.Account, classOf(g))
		}
	}
}

func classOf(g *rankedGroup) share.Class {
	return share.Class{Pool: g.pool, Priority: g.rank.Priority}
}

// hasWaitedLong reports whether a job has waited longer than maxBehindObjectives. It takes the
// objective from the rank, so that each pass predicts it only once.
func (c *Core) hasWaitedLong(g *rankedGroup) bool {
	objectiveMS := g.rank.DeadlineMS - g.occ.dueMS
	return c.now.UnixMS > g.occ.dueMS+maxBehindObjectives*objectiveMS
}

// waitingWork returns which accounts have waiting work of which class, for how long.
func (c *Core) waitingWork(p *pass) []share.Waiting {
	type key struct {
		account string
		class   share.Class
	}
	at := make(map[key]int)
	var out []share.Waiting
	for _, g := range p.ready {
		k := key{g.occ.entry.job.Account, classOf(g)}
		n, ok := at[k]
		if !ok {
			n = len(out)
			at[k] = n
			out = append(out, share.Waiting{Account: k.account, Class: k.class})
		}
		out[n].For = max(out[n].For, c.longestWait(g.taskGroup))
	}
	return out
}

// longestWait returns how long the waiting units of a group have waited at most.
func (c *Core) longestWait(g *taskGroup) time.Duration {
	longest := time.Duration(0)
	for _, u := range g.units {
		if u.state == unitWaiting {
			longest = max(longest, c.now.Mono-u.waitingSince)
		}
	}
	return longest
}

// AccountsOverShare returns how many accounts are over their share.
func (c *Core) AccountsOverShare() int {
	if c.shares.accounts == nil {
		return 0
	}
	return c.shares.accounts.Over()
}

// accountsOverview returns the accounts as they are shown to operators; none if their
// shares are not read.
func (c *Core) accountsOverview() []overview.Account {
	if c.shares.accounts == nil {
		return nil
	}
	waiting := make(map[string]int)
	for _, e := range c.openJobs {
		if e.hasWaiting() {
			waiting[e.job.Account]++
		}
	}
	var out []overview.Account
	for _, s := range c.shares.accounts.States() {
		out = append(out, overview.Account{
			Name: s.Account, GuaranteedGPU: c.policy.GuaranteedGPU(s.Account),
			UsageOfShare: s.Ratio, WaitingJobs: waiting[s.Account], OverShare: s.Over,
		})
	}
	return out
}

// hasWaiting reports whether some task of the job waits that could be started now.
func (e *jobEntry) hasWaiting() bool {
	for _, o := range e.occurrences {
		for _, g := range o.groups {
			if g.unfinished > 0 && g.dependenciesDone() && g.hasWaiting() {
				return true
			}
		}
	}
	return false
}
