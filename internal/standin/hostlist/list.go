// Package hostlist is a stand-in for the platform's host list, which shows each
// change only after a lag.
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
	// Clock gives the time; default time.Now.
	Clock func() time.Time
	// Region is told in answers, so that callers can count what crosses.
	Region model.Region
	// Lag is how long a change takes to show.
	Lag time.Duration
}

// List is a stand-in host list. It is safe for concurrent use. Its method of
// platform.HostList reaches it directly, Handler serves it over HTTP.
type List struct {
	clock  func() time.Time
	region model.Region
	faults *fault.Injector

	mu      sync.Mutex
	lag     time.Duration
	shown   map[model.HostID]model.Host
	pending []change
}

// change is one that does not show yet.
type change struct {
	at      time.Time
	host    model.Host
	removed bool
}

var _ platform.HostList = (*List)(nil)

// New makes an empty list.
func New(opts Options) *List {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	return &List{
		clock:  opts.Clock,
		region: opts.Region,
		faults: fault.NewInjector(opts.Clock),
		lag:    opts.Lag,
		shown:  make(map[model.HostID]model.Host),
	}
}

// Register adds a host as live, or changes its line.
func (l *List) Register(h model.Host) {
	h.State = model.HostLive
	l.change(change{host: h})
}

// Leave marks a host as leaving.
func (l *List) Leave(h model.Host) {
	h.State = model.HostLeaving
	l.change(change{host: h})
}

// Remove takes a host off the list.
func (l *List) Remove(id model.HostID) {
	l.change(change{host: model.Host{ID: id}, removed: true})
}

// SetLag sets the lag of later changes.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetFault replaces the faults in force.
func (l *List) SetFault(f fault.Fault) { l.faults.SetFault(f) }

// Hosts gives the list as it shows now, in the order of the hosts' ids.
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
	l.show(l.clock())
	out := make([]model.Host, 0, len(l.shown))
	for _, h := range l.shown {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b model.Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (l *List) change(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.clock().Add(l.lag)
	// A shorter lag must not let a change overtake an earlier one.
	if n := len(l.pending); n > 0 && l.pending[n-1].at.After(c.at) {
		c.at = l.pending[n-1].at
	}
	l.pending = append(l.pending, c)
	l.show(l.clock())
}

// show applies, in the order in which they were made, the changes whose lag has passed.
func (l *List) show(now time.Time) {
	rest := l.pending[:0]
	for _, c := range l.pending {
		switch {
		case c.at.After(now):
			rest = append(rest, c)
		case c.removed:
			delete(l.shown, c.host.ID)
		default:
			l.shown[c.host.ID] = c.host
		}
	}
	l.pending = rest
}
