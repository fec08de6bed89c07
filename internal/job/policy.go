package job

import "strings"

// Queue is where jobs of one kind wait.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Pool names the workers that run the queue's tasks.
	Pool string `cbor:"2,keyasint"`
	// Priority 0 comes first and may preempt others.
	Priority int `cbor:"3,keyasint,omitempty"`
	// MaxTries is how often a task or gang may fail before its job has failed.
	MaxTries int     `cbor:"4,keyasint,omitempty"`
	Stretch  float64 `cbor:"5,keyasint,omitempty"`
	// ObjectiveMS is added to the stretched chain of work.
	ObjectiveMS int64 `cbor:"6,keyasint,omitempty"`
	// NeedsAdvice queues may start tasks only on workers that an adviser named.
	NeedsAdvice bool `cbor:"7,keyasint,omitempty"`
}

// Route leads calls to a queue.
type Route struct {
	Queue Queue
	Host  string
	// Prefix is the path that the route's calls begin with; it ends in "/".
	Prefix string
	// Public routes need no key.
	Public bool
	// TimeoutMS bounds a call.
	TimeoutMS int64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedGPU belongs to the account's jobs of priority 0 at all times.
	GuaranteedGPU int
}

// Pool is a set of workers.
type Pool struct {
	Name string
	// AdmissionCheck workers refuse what does not fit.
	AdmissionCheck bool
	Standby        bool
}

// Policy is one version of what operators have set.
type Policy struct {
	Version  int64
	Routes   []Route
	Accounts []Account
	Pools    []Pool
	// MaxBodyBytes bounds the body of a call; 0 for no bound.
	MaxBodyBytes int64

	accounts map[string]*Account
}

// Index prepares the policy for look-ups; it is called once before use.
func (p *Policy) Index() {
	p.accounts = make(map[string]*Account)
	for i := range p.Accounts {
		for _, k := range p.Accounts[i].Keys {
			p.accounts[k] = &p.Accounts[i]
		}
	}
}

// Match gives the route with the host and the longest prefix of path, or nil.
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

// AccountByKey gives the account that holds the key, or nil.
func (p *Policy) AccountByKey(key string) *Account { return p.accounts[key] }

// GuaranteedGPU gives the accelerators guaranteed to the named account.
func (p *Policy) GuaranteedGPU(account string) int {
	for i := range p.Accounts {
		if p.Accounts[i].Name == account {
			return p.Accounts[i].GuaranteedGPU
		}
	}
	return 0
}
