package instance

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/upkeep"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// Options are what an instance is made of.
type Options struct {
	Settings Settings
	Log      external.Log
	Workers  external.Workers
	// Adviser may be nil where no queue needs advice.
	Adviser external.Adviser
	// PolicyTopic is the topic and key of the operators' policy, WorkerList the
	// topic of the workers' entries.
	PolicyTopic external.Topic
	PolicyKey   string
	WorkerTopic external.Topic
	// Machines orders upkeep; nil where there is none. DecodeWave and EncodeWave
	// read and write the records about it, WaveStatus is where they go.
	Machines        external.Machines
	WaveStatusTopic external.Topic
	DecodeWave      func(external.Record) (w upkeep.Wave, ok bool, err error)
	EncodeWave      func(upkeep.Report) (external.Record, error)
	// DecodePolicy and DecodeWorker read the records of those topics.
	DecodePolicy func([]byte) (*job.Policy, error)
	DecodeWorker func(external.Record) (external.Worker, error)
	Logger       *slog.Logger
}

// Instance is one process of the system.
type Instance struct {
	Options
	pool   *link.Pool
	server *link.Server
	logger *slog.Logger

	policy     atomic.Pointer[policyInForce]
	policyRead atomic.Int64 // boot time of the last successful read, in ns
	policyMu   sync.Mutex

	termMu  sync.Mutex
	term    *term.Core
	owner   atomic.Pointer[owner]
	stop    atomic.Bool
	store   *storeMonitor
	log     external.Log
	members members

	waveMu sync.Mutex
	waves  map[int64]upkeep.Wave

	work    context.Context
	cancel  context.CancelFunc
	runMu   sync.Mutex
	running sync.WaitGroup
}

// policyInForce is a policy with the record that it came in.
type policyInForce struct {
	policy *job.Policy
	record []byte
}

// New makes an instance; nothing runs yet.
func New(o Options) *Instance {
	s := o.Settings
	i := &Instance{Options: o, logger: o.Logger, term: term.New(s.Term, s.Incarnation, s.LinkAddr)}
	i.store = newStoreMonitor(o.Log, append(slices.Clone(topicsJobs), topicTerm))
	i.store.onChange, i.store.onUnreadable = i.storeChanged, i.recordsUnread
	i.log = i.store
	i.members.silent = make(map[string]time.Duration)
	i.members.set(slices.Clone(s.Peers), nil, s.LinkAddr)
	host, region := model.HostID(s.Name), model.Region(s.Region)
	i.pool = link.NewPool(link.PoolOptions{Self: host, Region: region, Logger: o.Logger})
	i.server = link.NewServer(link.ServerOptions{Self: host, Region: region, Logger: o.Logger})
	link.Handle(i.server, wire.KindJob, i.onJobQuery)
	link.Handle(i.server, wire.KindPending, i.onPendingQuery)
	link.Handle(i.server, wire.KindPolicy, i.onPolicyQuery)
	link.Handle(i.server, wire.KindRecord, i.onRecordWrite)
	link.Handle(i.server, wire.KindAppended, i.onAppended)
	link.Handle(i.server, wire.KindYield, i.onYield)
	link.Handle(i.server, wire.KindTermNotice, i.onTermTold)
	i.work, i.cancel = context.WithCancel(context.Background())
	return i
}

// LinkServer gives the handler that peers' links are mounted with.
func (i *Instance) LinkServer() *link.Server { return i.server }

// Run works until ctx ends, then gives the term up and returns. Calls of
// callers go on being answered until Close.
func (i *Instance) Run(ctx context.Context) {
	watched.Store(i)
	evStarted.Log(ctx, i.logger, slog.String("life", i.Settings.Incarnation), slog.String("zone", i.Settings.Zone))
	i.goRun(i.followPolicy)
	i.goRun(i.followTerm)
	i.goRun(i.tick)
	i.goRun(i.askPeersForPolicy)
	i.goRun(i.followMembers)
	i.goRun(i.store.runProbes)
	<-ctx.Done()
	evStopping.Log(ctx, i.logger)
	i.stop.Store(true)
	i.stepTerm(term.Leaving{})
}

// Close ends all work.
func (i *Instance) Close() {
	i.runMu.Lock()
	i.cancel()
	i.runMu.Unlock()
	_ = i.pool.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = i.server.Shutdown(ended)
	i.running.Wait()
	evStopped.Log(context.Background(), i.logger)
}

// goRun runs f beside the rest until it ends; nothing is begun once the instance
// closes.
func (i *Instance) goRun(f func(context.Context)) {
	i.runMu.Lock()
	defer i.runMu.Unlock()
	if i.work.Err() != nil {
		return
	}
	i.running.Add(1)
	go func() {
		defer i.running.Done()
		f(i.work)
	}()
}

// Ready says whether callers should be sent here.
func (i *Instance) Ready() bool { return !i.stop.Load() && i.policy.Load() != nil }

// tick passes time to the cores.
func (i *Instance) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		i.stepTerm(term.Tick{Whole: i.store.noTopicUnavailable()})
		if o := i.owner.Load(); o != nil {
			o.tick()
		}
	}
}
