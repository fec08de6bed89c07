package link

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/wire"
)

// Pool makes calls. It keeps one link to each address that is called and dials
// it again when it goes down.
type Pool struct {
	opts   PoolOptions
	self   Peer
	counts counters

	mu     sync.Mutex
	rand   *rand.Rand
	peers  map[string]*target
	closed bool
	wg     sync.WaitGroup
}

// NewPool makes a pool without links.
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
		rand: rand.New(rand.NewPCG(o.Seed, 0)), peers: make(map[string]*target),
	}
}

// linkTries is how many links a call tries while each goes down before it could be sent.
const linkTries = 2

// ByteCounts gives the bytes sent and received so far.
func (p *Pool) ByteCounts() []ByteCount { return p.counts.list() }

// Call sends a request to the process at addr (IP and port) and waits for its
// answer. The error wraps ErrNotSent, ErrLost, ErrRemote or ErrOverloaded. When
// ctx ends first, the far side's handler is told, and the error says whether
// the request had left.
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
	t, err := p.target(addr)
	if err != nil {
		return nil, err
	}
	for range linkTries - 1 {
		l, err := t.link(ctx)
		if err != nil {
			return nil, err
		}
		answer, err := l.call(ctx, k, body)
		if !errors.Is(err, ErrNotExecuted) || l.ctx.Err() == nil || ctx.Err() != nil {
			return answer, err
		}
	}
	l, err := t.link(ctx)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, k, body)
}

func (p *Pool) target(addr string) (*target, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.Wrap(ErrNotExecuted, errClosed.Error())
	}
	now := time.Now()
	t := p.peers[addr]
	if t == nil {
		p.prune(now)
		t = &target{pool: p, addr: addr}
		p.peers[addr] = t
	}
	t.used = now
	return t, nil
}

// prune forgets addresses that were not called for long and have no link; p.mu
// is held. Hosts are replaced all day, and each has an address of its own.
func (p *Pool) prune(now time.Time) {
	for addr, t := range p.peers {
		if now.Sub(t.used) > forgetAfter && t.unlinked() {
			delete(p.peers, addr)
		}
	}
}

// Close ends all links and their open calls, and waits until they are down.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = nil
	p.mu.Unlock()
	for _, t := range peers {
		t.close()
	}
	p.wg.Wait()
	return nil
}
