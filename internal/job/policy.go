package job

import "strings"

// Queue holds the settings of a queue of jobs.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Pool names the workers that run the queue's tasks.
	Pool string `cbor:"2,keyasint"`
	// Priority is 0 for the most urgent queues, which may preempt others.
	Priority int `cbor:"3,keyasint,omitempty"`
	// MaxTries is the number of failed runs of a task or gang after which its job
	// has failed.
	MaxTries int `cbor:"4,keyasint,omitempty"`
	// Stretch is the factor by which the job's critical path is multiplied to get
	// the first part of its objective.
	Stretch float64 `cbor:"5,keyasint,omitempty"`
	// ObjectiveMS is the fixed part of the objective, added to the stretched
	// critical path.
	ObjectiveMS int64 `cbor:"6,keyasint,omitempty"`
	// NeedsAdvice says that tasks may be started only on workers that the advice
	// service allowed.
	NeedsAdvice bool `cbor:"7,keyasint,omitempty"`
}

// Route maps the calls to a host and path prefix to a queue.
type Route struct {
	Queue Queue
	Host  string
	// Prefix is the start of the path of the route's calls; it ends in "/".
	Prefix string
	// Public says that calls need no key.
	Public bool
	// TimeoutMS is the time limit of a call.
	TimeoutMS int64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedGPU is the number of GPUs that the account's jobs of priority 0 can
	// have at any time.
	GuaranteedGPU int
}

// Pool is a set of workers.
type Pool struct {
	Name string
	// AdmissionCheck says that the workers refuse tasks that don't fit.
	AdmissionCheck bool
	Standby        bool
}

// Policy is one version of the operators' settings.
type Policy struct {
	Version  int64
	Routes   []Route
	Accounts []Account
	Pools    []Pool
	// MaxBodyBytes limits the body of a call; 0 means no limit.
	MaxBodyBytes int64

	accounts map[string]*Account
}

// Index builds the table that AccountByKey uses. Call it once before use.
func (p *Policy) Index() {
	p.accounts = make(map[string]*Account)
	for i := range p.Accounts {
		for _, k := range p.Accounts[i].Keys {
			p.accounts[k] = &p.Accounts[i]
		}
	}
}

// Match returns the route of the host with the longest prefix of path, or nil.
func (p *Policy) Match(host, path string) *Route {
	var best *Route
	for i := range p.Routes {
		r := &p.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// AccountByKey returns the account that holds the key, or nil.
func (p *Policy) AccountByKey(key string) *Account { return p.accounts[key] }

// GuaranteedGPU returns the number of GPUs guaranteed to the named account.
func (p *Policy) GuaranteedGPU(account string) int {
	for i := range p.Accounts {
		if p.Accounts[i].Name == account {
			return p.Accounts[i].GuaranteedGPU
		}
	}
	return 0
}

// PriorityCount returns how many different priorities the queues have.
func (p *Policy) PriorityCount() int { return len(p.priorities(func(int) bool { return true })) }

// LessUrgent returns how many different priorities of queues are less urgent than the given one.
func (p *Policy) LessUrgent(priority int) int {
	return len(p.priorities(func(other int) bool { return other > priority }))
}

// priorities returns the set of the queues' priorities that the function includes.
func (p *Policy) priorities(include func(int) bool) map[int]bool {
	out := make(map[int]bool)
	for i := range p.Routes {
		if q := p.Routes[i].Queue.Priority; include(q) {
			out[q] = true
		}
	}
	return out
}
