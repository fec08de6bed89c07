package instance

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/overview"
)

// explainInterval is the least time between two explanations. Each copies the decision
// state of the cell under the owner's lock, which takes milliseconds and several
// megabytes for 350 workers.
const explainInterval = time.Second

// explainedID is the ID of an explained job in the copy of the decision state. Callers'
// IDs are hexadecimal, so no job has it.
const explainedID job.ID = "explained"

var (
	// ErrUnknownQueue and ErrUnknownAccount mean that the policy has no such queue or account.
	ErrUnknownQueue   = eris.New("no such queue in the policy")
	ErrUnknownAccount = eris.New("no such account in the policy, and the queue is not public")
	// ErrNotOwner means that another instance owns the cell.
	ErrNotOwner = eris.New("this instance does not own the cell")
	// ErrTooSoon means that an explanation is being made, or was made within the last second.
	ErrTooSoon = eris.New("only one explanation a second")
)

// explanations admits explanations one at a time.
type explanations struct {
	mu sync.Mutex
	// earliest is the earliest boot time of the next explanation.
	earliest time.Duration
	busy     bool
}

// begin reports whether an explanation may be made now. If so, end must be called after it.
func (e *explanations) begin(now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || now < e.earliest {
		return false
	}
	e.busy, e.earliest = true, now+explainInterval
	return true
}

func (e *explanations) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
}

// ExplainedJob returns a job without steps as it would be submitted to a queue by an
// account, to be completed and passed to Explain. Errors: ErrNoPolicy, ErrUnknownQueue,
// ErrUnknownAccount.
func (i *Instance) ExplainedJob(queue, account string) (*job.Job, error) {
	p := i.policy.Load()
	if p == nil {
		return nil, ErrNoPolicy
	}
	at := slices.IndexFunc(p.policy.Routes, func(r job.Route) bool { return r.Queue.Name == queue })
	if at < 0 {
		return nil, eris.Wrap(ErrUnknownQueue, queue)
	}
	known := slices.ContainsFunc(p.policy.Accounts, func(a job.Account) bool { return a.Name == account })
	if !known && (account != "" || !p.policy.Routes[at].Public) {
		return nil, eris.Wrap(ErrUnknownAccount, account)
	}
	return &job.Job{ID: explainedID, Account: account, Queue: p.policy.Routes[at].Queue, SubmittedMS: time.Now().UnixMilli()}, nil
}

// Explain returns where a job would be placed if it were submitted now. The job is not
// submitted. Errors: job.ErrInvalid, ErrNotOwner, ErrTooSoon, ErrUnavailable while the
// owner takes the cell over, cell.ErrUnreadJobs.
func (i *Instance) Explain(j *job.Job) (overview.Explanation, error) {
	var none overview.Explanation
	if err := j.CheckNew(); err != nil {
		return none, err
	}
	o := i.owner.Load()
	if o == nil {
		return none, ErrNotOwner
	}
	if !i.explanations.begin(boottime()) {
		return none, ErrTooSoon
	}
	defer i.explanations.end()
	x, now, err := o.explainer()
	if err != nil {
		return none, err
	}
	return x.Explain(now, j), nil
}

// explainer returns an Explainer of the cell and the time at which it was made. Only the
// copy needs the lock; the explanation is made beside the owner's work.
func (o *owner) explainer() (*cell.Explainer, cell.Instant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil || o.ctx.Err() != nil {
		return nil, cell.Instant{}, ErrUnavailable
	}
	x, err := o.core.Explainer()
	return x, instant(), err
}

// MaxBody returns the limit of the body of a call in bytes; 0 means that the policy sets none.
func (i *Instance) MaxBody() int64 {
	if p := i.policy.Load(); p != nil {
		return p.policy.MaxBodyBytes
	}
	return 0
}

// OwnerAddr returns the address for links of the cell's owner, as far as it is known.
func (i *Instance) OwnerAddr() string { return i.latestTermRecord().Addr }
