package confsync

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/model"
)

// Store holds the configuration in force on one host. It is safe for concurrent use.
type Store struct {
	o Options

	mu      sync.Mutex
	core    *settings.Core
	told    []func(*config.Versioned)
	signals []chan struct{}
	waiting map[string][]chan settings.Verdict
	// verdicts are those not yet handed to OnVerdict.
	verdicts []settings.Verdict
	peers    []model.Host
	rank     int

	// changed wakes the loops that tell others of a new version.
	changed  chan struct{}
	pushNow  chan struct{}
	judged   chan struct{}
	saves    chan *settings.Snapshot
	askedFor int
	// quiet tells when hosts last failed to answer.
	quiet map[model.HostID]time.Time
	// logDown says that the last read of the log failed.
	logDown atomic.Bool

	// window, opened and oldest say where the search for a start is: the size of
	// the window, its first record, and the oldest record kept.
	window, opened, oldest model.Offset
}

// New makes a store that knows no version. Run makes it learn.
func New(o Options) *Store {
	o = o.withDefaults()
	return &Store{
		o:       o,
		core:    settings.New(o.Core),
		waiting: make(map[string][]chan settings.Verdict),
		quiet:   make(map[model.HostID]time.Time),
		changed: make(chan struct{}, 1),
		pushNow: make(chan struct{}, 1),
		judged:  make(chan struct{}, 1),
		saves:   make(chan *settings.Snapshot, 1),
	}
}

// Current gives the version in force; nil before any is. It must not be written to.
func (s *Store) Current() *config.Versioned {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Current()
}

// Ready reports whether a version is in force that the log's head or a majority
// of the live own hosts has confirmed.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Ready()
}

// Subscribe gives a channel that gets a value after each change; several
// changes may give one value.
func (s *Store) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signals = append(s.signals, ch)
	return ch
}

// OnChange has f called by Run with each newer version; versions that follow
// each other quickly may be left out.
func (s *Store) OnChange(f func(*config.Versioned)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, f)
}

// Run follows the stream and other hosts until ctx ends; it gives ctx's error.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.follow(ctx) })
	g.Go(func() error { return s.watchHosts(ctx) })
	g.Go(func() error { return s.gossip(ctx) })
	g.Go(func() error { return s.save(ctx) })
	g.Go(func() error { return s.tell(ctx) })
	g.Go(func() error { return s.report(ctx) })
	if s.o.Peers != nil {
		g.Go(func() error { return s.push(ctx) })
	}
	return g.Wait()
}

// step hands an event to the core and carries out its actions.
func (s *Store) step(ctx context.Context, ev settings.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(ctx, ev)
}

func (s *Store) stepLocked(ctx context.Context, ev settings.Event) {
	for _, a := range s.core.Step(s.o.Clock(), ev) {
		switch a := a.(type) {
		case settings.Install:
			s.installed(ctx, a.Config)
		case settings.Judge:
			s.ruled(ctx, a.Verdict)
		case settings.Save:
			select {
			case s.saves <- a.Snapshot:
			default:
			}
		case settings.Seek:
			// The reading loop asks the core where to read.
		}
	}
	s.settle()
}

// settle answers those whose record came into force by way of another host's
// snapshot, for which there is no ruling.
func (s *Store) settle() {
	for id, chs := range s.waiting {
		v, ok := s.core.Accepted(id)
		if !ok {
			continue
		}
		for _, ch := range chs {
			ch <- settings.Verdict{Ruling: settings.RulingAccepted, Version: v}
		}
		delete(s.waiting, id)
	}
}

func (s *Store) installed(ctx context.Context, v *config.Versioned) {
	if !s.o.ReadOnly {
		evInstalled.Log(ctx, s.o.Logger, slog.Uint64("version", uint64(v.Version)))
		mInstalls.Inc()
		raise(uint64(v.Version))
	}
	for _, ch := range s.signals {
		signal(ch)
	}
	signal(s.changed)
	signal(s.pushNow)
}

func raise(v uint64) {
	for old := highest.Load(); v > old; old = highest.Load() {
		if highest.CompareAndSwap(old, v) {
			return
		}
	}
}

func (s *Store) ruled(ctx context.Context, v settings.Verdict) {
	if v.Ruling != settings.RulingAccepted && !s.o.ReadOnly {
		evRejected.Log(ctx, s.o.Logger, slog.Uint64("offset", uint64(v.Offset)),
			slog.String("ruling", string(v.Ruling)), slog.String("why", v.Why))
	}
	if v.Record != nil {
		for _, ch := range s.waiting[v.Record.ID] {
			ch <- v
		}
		delete(s.waiting, v.Record.ID)
	}
	if s.o.OnVerdict != nil {
		s.verdicts = append(s.verdicts, v)
		signal(s.judged)
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// tell calls those that OnChange registered.
func (s *Store) tell(ctx context.Context) error {
	var last config.Version
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
		}
		s.mu.Lock()
		v, told := s.core.Current(), s.told
		s.mu.Unlock()
		if v == nil || v.Version <= last {
			continue
		}
		last = v.Version
		for _, f := range told {
			f(v)
		}
	}
}

// report hands rulings to OnVerdict in order, outside the lock.
func (s *Store) report(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.judged:
		}
		s.mu.Lock()
		vs := s.verdicts
		s.verdicts = nil
		s.mu.Unlock()
		for _, v := range vs {
			s.o.OnVerdict(v)
		}
	}
}
