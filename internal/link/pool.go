package link

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// Pool makes calls to other processes. It keeps one link to each address that is
// called. If a link has gone down, the next call dials a new one.
type Pool struct {
	opts   PoolOptions
	self   Peer
	counts counters

	randMu sync.Mutex
	rand   *rand.Rand

	mu        sync.Mutex
	endpoints map[string]*endpoint
	closed    bool
	wg        sync.WaitGroup
}

// NewPool returns a pool without links.
func NewPool(o PoolOptions) *Pool {
	o.Limits = o.Limits.WithDefaults()
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Pool{
		opts: o, self: Peer{Host: o.Self, Region: o.Region},
		rand: rand.New(rand.NewPCG(o.Seed, 0)), endpoints: make(map[string]*endpoint),
	}
}

// linkAttempts is how many links a call tries if each goes down before the request
// was sent.
const linkAttempts = 2

// ByteCounts returns the bytes sent and received so far.
func (p *Pool) ByteCounts() []ByteCount { return p.counts.list() }

// Call sends a request to the process at addr (IP and port) and waits for its
// answer. The error wraps ErrNotExecuted, ErrOutcomeUnknown, ErrRemote or
// ErrOverloaded. If ctx ends first, the peer's handler is cancelled, and the error
// tells whether the request had been sent.
func Call[Req, Rep any](ctx context.Context, p *Pool, addr string, k wire.Kind, req Req) (Rep, error) {
	var rep Rep
	body, err := encodeBody(req)
	if err != nil {
		return rep, eris.Wrap(ErrNotExecuted, err.Error())
	}
	answer, err := p.call(ctx, addr, k, body)
	if err != nil {
		return rep, err
	}
	if err := decodeBody(answer, &rep); err != nil {
		return rep, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return rep, nil
}

func (p *Pool) call(ctx context.Context, addr string, k wire.Kind, body []byte) ([]byte, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return nil, err
	}
	for range linkAttempts - 1 {
		l, err := e.link(ctx)
		if err != nil {
			return nil, err
		}
		answer, err := l.call(ctx, k, body)
		if !errors.Is(err, ErrNotExecuted) || l.ctx.Err() == nil || ctx.Err() != nil {
			return answer, err
		}
	}
	l, err := e.link(ctx)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, k, body)
}

func (p *Pool) endpoint(addr string) (*endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.Wrap(ErrNotExecuted, errClosed.Error())
	}
	now := time.Now()
	e := p.endpoints[addr]
	if e == nil {
		p.prune(now)
		e = &endpoint{pool: p, addr: addr, redial: core.NewRedial(p.opts.Limits)}
		p.endpoints[addr] = e
	}
	e.lastUsed = now
	return e, nil
}

// prune removes endpoints that have no link and were not called for endpointTTL;
// p.mu is held. Without it the map would grow, as hosts are replaced all the time
// and each has a new address.
func (p *Pool) prune(now time.Time) {
	for addr, e := range p.endpoints {
		if now.Sub(e.lastUsed) > endpointTTL && e.disconnected() {
			delete(p.endpoints, addr)
		}
	}
}

// jitter returns a random number from 0 to 1. It does not take p.mu, as prune locks endpoints while
// it holds that.
func (p *Pool) jitter() float64 {
	p.randMu.Lock()
	defer p.randMu.Unlock()
	return p.rand.Float64()
}

// Close closes all links, which fails their open calls, and waits until they are down.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	endpoints := p.endpoints
	p.endpoints = nil
	p.mu.Unlock()
	for _, e := range endpoints {
		e.close()
	}
	p.wg.Wait()
	return nil
}
