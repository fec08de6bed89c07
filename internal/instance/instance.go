package instance

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootmux/internal/core/confidence"
	"coltsfootmux/internal/core/drain"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/upkeep"
	"coltsfootmux/internal/core/witness"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// Options are the settings of an Instance and the services that it uses.
type Options struct {
	Settings Settings
	// StoreClient is the client of the store, Workers that of the workers.
	StoreClient external.Store
	Workers     external.Workers
	// AdviceService is nil if there is none; then no queue may need advice.
	AdviceService external.AdviceService
	// PolicyTopic and PolicyKey locate the operators' policy in the store; WorkerTopic
	// holds the list of workers.
	PolicyTopic external.Topic
	PolicyKey   string
	WorkerTopic external.Topic
	// UpkeepService is nil if there is none. DecodeWave and EncodeWave decode and encode
	// the records of upkeep waves; reports on waves go to WaveStatusTopic.
	UpkeepService   external.UpkeepService
	WaveStatusTopic external.Topic
	DecodeWave      func(external.Record) (w upkeep.Wave, ok bool, err error)
	EncodeWave      func(upkeep.Report) (external.Record, error)
	// DecodeDrain, if set, decodes the records of PolicyTopic that drain a data centre or
	// take it back; ok is false for all others.
	DecodeDrain func(external.Record) (dataCentre string, drained, ok bool)
	// DecodePolicy and DecodeWorker decode the records of PolicyTopic and WorkerTopic.
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

	policy atomic.Pointer[currentPolicy]
	// policyReadAt is the boot time at which the store last answered a read of the policy,
	// here or at the relay that was asked; policyContactAt that of the last part of an
	// answer. Both are in ns.
	policyReadAt    atomic.Int64
	policyContactAt atomic.Int64
	// policyFromStore is set while this instance reads the policy from the store itself.
	policyFromStore atomic.Bool
	policyMu        sync.Mutex
	policyChanged   broadcast

	// rank is the capacity.Rank of this machine that the term's core knows.
	rank atomic.Int64
	// readsIntervals is set while all members are of versions that read progress with intervals.
	readsIntervals atomic.Bool

	termMu sync.Mutex
	term   *term.Core
	// termUnstored says that the owned term has had no stored renewal for a while,
	// termStoredAge is the time since the latest one at the last step.
	termUnstored  bool
	termStoredAge time.Duration
	owner         atomic.Pointer[owner]
	stopping      atomic.Bool
	// witness is this instance's state as a witness of others' terms.
	witnessMu sync.Mutex
	witness   *witness.Core
	witnessID witness.ID
	// checkedTerm is the owned term whose witnesses are being checked, 0 for none; checkAgain says
	// that another check was asked for meanwhile.
	checkedTerm atomic.Int64
	checkAgain  atomic.Bool
	// confidence is this instance's judgement, as a witness, of the owner of the latest term.
	confidenceMu sync.Mutex
	confidence   *confidence.Core
	// storeMonitor wraps StoreClient; store is the same value as an external.Store. All
	// calls to the store go through them.
	storeMonitor *storeMonitor
	store        external.Store
	members      members
	// membersRead is closed when the members have been read for the first time.
	membersRead     chan struct{}
	membersReadOnce sync.Once

	drainMu sync.Mutex
	drains  drain.Set

	waveMu sync.Mutex
	waves  map[int64]upkeep.Wave

	explanations explanations
	admission    admission
	// lag is how late this process runs its own work.
	lag lagMeter
	// tickDelay is how late the latest tick came, in ns.
	tickDelay atomic.Int64
	// reachMu is held while workers are probed for an owner; reachedAt is the boot time at which
	// they last were.
	reachMu   sync.Mutex
	reachedAt time.Duration

	// ctx ends when the instance is closed. wgMu keeps goroutines from being added to wg
	// after that.
	ctx    context.Context
	cancel context.CancelFunc
	wgMu   sync.Mutex
	wg     sync.WaitGroup
}

// New returns an instance that Run starts.
func New(o Options) *Instance {
	s := o.Settings
	i := &Instance{Options: o, logger: o.Logger, term: term.New(s.Term, s.Incarnation, s.LinkAddr)}
	i.witnessID = witness.IDOf(s.Incarnation)
	i.witness = witness.New(i.witnessID, s.Term.StaleAfter, boottime())
	i.confidence = confidence.New()
	i.storeMonitor = newStoreMonitor(o.StoreClient, append(slices.Clone(topicsJobs), topicTerm))
	i.storeMonitor.onChange, i.storeMonitor.onUnreadable = i.logTopicChange, i.logUnreadableRecords
	i.storeMonitor.limitCall = i.lag.limit
	i.store = i.storeMonitor
	i.members.lastFailure = make(map[string]time.Duration)
	i.members.set(nil, s.Peers, s.LinkAddr)
	i.admission.core.SetLimit(s.Cell.Memory, len(i.members.addrs)+1)
	i.membersRead = make(chan struct{})
	host, region := model.HostID(s.Name), model.Region(s.Region)
	i.pool = link.NewPool(link.PoolOptions{Self: host, Region: region, Logger: o.Logger})
	i.server = link.NewServer(link.ServerOptions{Self: host, Region: region, Logger: o.Logger, MemoryBytes: s.LinkMemoryBytes})
	link.Handle(i.server, wire.KindJob, i.onJobQuery)
	link.Handle(i.server, wire.KindPending, i.onPendingQuery)
	link.Handle(i.server, wire.KindPolicy, i.onPolicyQuery)
	link.Handle(i.server, wire.KindPolicyPart, i.onPolicyPartQuery)
	link.Handle(i.server, wire.KindRecord, i.onRecordWrite)
	link.Handle(i.server, wire.KindAppended, i.onAppended)
	link.Handle(i.server, wire.KindCapacity, i.onCapacityQuery)
	link.Handle(i.server, wire.KindYield, i.onYield)
	link.Handle(i.server, wire.KindTermNotice, i.onTermNotice)
	link.Handle(i.server, wire.KindWitness, i.onWitness)
	link.Handle(i.server, wire.KindReach, i.onReach)
	link.Handle(i.server, wire.KindOwnerCheck, i.onOwnerCheck)
	i.ctx, i.cancel = context.WithCancel(context.Background())
	return i
}

// LinkServer returns the handler for links from peers.
func (i *Instance) LinkServer() *link.Server { return i.server }

// Run runs the instance until ctx ends, then gives up the term and returns. Requests
// are still answered until Close.
func (i *Instance) Run(ctx context.Context) {
	gaugeInstance.Store(i)
	evStarted.Log(ctx, i.logger, slog.String("life", i.Settings.Incarnation), slog.String("zone", i.Settings.Zone))
	i.spawn(i.followPolicy)
	i.spawn(i.followTerm)
	i.spawn(i.tick)
	i.spawn(i.measureLag)
	i.spawn(i.askPeersForPolicy)
	i.spawn(i.followMembers)
	i.spawn(i.storeMonitor.runProbes)
	<-ctx.Done()
	evStopping.Log(ctx, i.logger)
	i.stopping.Store(true)
	i.witnessMu.Lock()
	i.witness.Stop()
	i.witnessMu.Unlock()
	i.stepTerm(term.Stopping{})
}

// Close ends all work and waits for it.
func (i *Instance) Close() {
	i.wgMu.Lock()
	i.cancel()
	i.wgMu.Unlock()
	_ = i.pool.Close()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_ = i.server.Shutdown(expired)
	i.wg.Wait()
	evStopped.Log(context.Background(), i.logger)
}

// spawn runs f in a goroutine that Close cancels and waits for. After Close it does
// nothing.
func (i *Instance) spawn(f func(context.Context)) {
	i.wgMu.Lock()
	defer i.wgMu.Unlock()
	if i.ctx.Err() != nil {
		return
	}
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		f(i.ctx)
	}()
}

// Ready reports whether callers should be sent to this instance.
func (i *Instance) Ready() bool { return !i.stopping.Load() && i.policy.Load() != nil }

// tick passes the time to the cores until ctx ends.
func (i *Instance) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	last := boottime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := boottime()
		i.recordTick(last, now)
		last = now
		i.stepTerm(term.Tick{AllTopicsReachable: i.storeMonitor.noTopicUnavailable(), Refused: i.refusedByOwner(), Lag: i.lag.since(now - lagReportInterval)})
		if o := i.owner.Load(); o != nil {
			o.tick()
			o.checkReach()
		}
		i.stepConfidence(confidence.Tick{View: i.ownerView()})
	}
}
