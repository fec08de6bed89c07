package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/membership"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
)

// inboxSize bounds the messages that wait for the loop.
const inboxSize = 8192

// Scheduler is one scheduler process's work. Make it with New and run it with Run.
type Scheduler struct {
	o     Options
	inbox chan message
	done  chan struct{}
	once  sync.Once
	loop  *loop
	dial  *dialer
	// boot names this start of the process.
	boot string
	// telling counts the successors that are being told of a hand-over.
	telling sync.WaitGroup
}

// New builds a scheduler and registers its calls with the link server. The error
// wraps ErrOptions.
func New(o Options) (*Scheduler, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		o:     o,
		inbox: make(chan message, inboxSize),
		done:  make(chan struct{}),
		dial:  newDialer(o.Workers),
		boot:  uuid.NewString(),
	}
	s.loop = newLoop(s)
	s.register(o.Server)
	return s, nil
}

// Run works until ctx ends. It returns nil then.
func (s *Scheduler) Run(ctx context.Context) error {
	defer s.once.Do(func() { close(s.done) })
	evStarted.Log(ctx, s.o.Logger, slog.String("host", string(s.o.Self.ID)))
	s.o.Configs.OnChange(func(c *config.Versioned) { s.post(configMsg{conf: c}) })
	if c := s.o.Configs.Current(); c != nil {
		s.post(configMsg{conf: c})
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.loop.run(ctx) })
	g.Go(func() error { return s.followClaims(ctx) })
	g.Go(func() error { return s.pollHosts(ctx) })
	err := g.Wait()
	evStopped.Log(context.WithoutCancel(ctx), s.o.Logger, slog.String("host", string(s.o.Self.ID)))
	return err
}

// Drain hands every scope that has a successor over, and waits until the
// successors have been told or ctx ends. The error is ErrStopped or that of ctx.
func (s *Scheduler) Drain(ctx context.Context) error {
	evDraining.Log(ctx, s.o.Logger, slog.String("host", string(s.o.Self.ID)))
	reply := make(chan struct{}, 1)
	if _, err := await(ctx, s, drainMsg{reply: reply}, reply); err != nil {
		return err
	}
	told := make(chan struct{})
	go func() {
		defer close(told)
		s.telling.Wait()
	}()
	select {
	case <-told:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// member gives this start of the process as it stands in claims.
func (s *Scheduler) member() model.Member {
	return model.Member{Host: s.o.Self.ID, Addr: s.o.Self.Addr, Boot: s.boot}
}

// post hands a message to the loop, or drops it when the scheduler has stopped.
func (s *Scheduler) post(m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.done:
		return false
	}
}

func (s *Scheduler) pollHosts(ctx context.Context) error {
	t := time.NewTicker(s.o.Timing.HostsEvery)
	defer t.Stop()
	for {
		s.readHosts(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (s *Scheduler) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.CallTimeout)
	defer cancel()
	hosts, err := s.o.Hosts.Hosts(ctx)
	if err != nil {
		evHostsFailed.Log(ctx, s.o.Logger, slog.Any("error", err))
		return
	}
	var own []model.Host
	for _, h := range hosts {
		if h.Role == model.RoleScheduler {
			own = append(own, h)
		}
	}
	s.post(ownMsg{ev: ownership.HostsSeen{Hosts: own}})
	s.post(memberMsg{ev: membership.HostsSeen{Hosts: hosts}})
}
