// Package hostlist is a stand-in for the platform's host list, which shows each
// change only after a delay.
package hostlist

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/fault"
)

// Options are the settings of a stand-in host list.
type Options struct {
	// Clock returns the time. The default is time.Now.
	Clock func() time.Time
	// Region is sent in every response, so that callers can count traffic between regions.
	Region model.Region
	// Lag is the delay until a change becomes visible.
	Lag time.Duration
}

// List is a stand-in host list. It is safe for concurrent use. Hosts accesses it
// directly, as platform.HostList requires; Handler serves it over HTTP.
type List struct {
	clock  func() time.Time
	region model.Region
	faults *fault.Injector

	mu      sync.Mutex
	lag     time.Duration
	visible map[model.HostID]model.Host
	pending []pendingChange
}

// pendingChange is a change that is not visible yet.
type pendingChange struct {
	visibleAt time.Time
	host      model.Host
	removed   bool
}

var _ platform.HostList = (*List)(nil)

// New returns an empty list.
func New(opts Options) *List {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	return &List{
		clock:   opts.Clock,
		region:  opts.Region,
		faults:  fault.NewInjector(opts.Clock),
		lag:     opts.Lag,
		visible: make(map[model.HostID]model.Host),
	}
}

// Register adds a host as live, or replaces its entry.
func (l *List) Register(h model.Host) {
	h.State = model.HostLive
	l.addChange(pendingChange{host: h})
}

// Leave marks a host as leaving.
func (l *List) Leave(h model.Host) {
	h.State = model.HostLeaving
	l.addChange(pendingChange{host: h})
}

// Remove removes a host from the list.
func (l *List) Remove(id model.HostID) {
	l.addChange(pendingChange{host: model.Host{ID: id}, removed: true})
}

// SetLag sets the delay of later changes.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetFault replaces the current faults.
func (l *List) SetFault(f fault.Fault) { l.faults.SetFault(f) }

// Hosts returns the hosts that are visible now, in the order of their ids.
func (l *List) Hosts(ctx context.Context) ([]model.Host, error) {
	down := l.faults.BeforeAction(ctx)
	if ctx.Err() != nil {
		return nil, eris.Wrap(platform.ErrUnclear, ctx.Err().Error())
	}
	if down {
		return nil, eris.Wrap(platform.ErrUnavailable, "down")
	}
	return l.hosts(), nil
}

func (l *List) hosts() []model.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue(l.clock())
	out := make([]model.Host, 0, len(l.visible))
	for _, h := range l.visible {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b model.Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (l *List) addChange(c pendingChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.visibleAt = l.clock().Add(l.lag)
	// Even if the lag was shortened, changes must become visible in order.
	if n := len(l.pending); n > 0 && l.pending[n-1].visibleAt.After(c.visibleAt) {
		c.visibleAt = l.pending[n-1].visibleAt
	}
	l.pending = append(l.pending, c)
	l.applyDue(l.clock())
}

// applyDue applies, in order, the changes whose lag has passed.
func (l *List) applyDue(now time.Time) {
	rest := l.pending[:0]
	for _, c := range l.pending {
		switch {
		case c.visibleAt.After(now):
			rest = append(rest, c)
		case c.removed:
			delete(l.visible, c.host.ID)
		default:
			l.visible[c.host.ID] = c.host
		}
	}
	l.pending = rest
}
