package soak

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/loopback"
	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/standin/store"
	"coltsfootmux/platform"
	"coltsfootmux/platform/platformtest"
)

// Options are the settings of a soak.
type Options struct {
	// Program is the path of the node program.
	Program string
	// Dir is the directory for settings files and logs.
	Dir      string
	Seed     uint64
	Machines int
	Workers  int
	// LoadTime is how long load and faults last. SettleTime is the time after that in
	// which every accepted job must complete.
	LoadTime   time.Duration
	SettleTime time.Duration
	// JobsPerSecond is the rate at which jobs are submitted.
	JobsPerSecond float64
	// Unfit adds faults that last and by which an owner can't do its work. UnfitAlone has them
	// one at a time in place of all others; work then has to go on beside them. UnfitKind, if
	// positive, has those of one kind only.
	Unfit      bool
	UnfitAlone bool
	UnfitKind  int
	// Pauses has single faults of the owner in place of all others, such as one pause of its
	// process, each followed by a quiet time. PauseKind, if positive, has those of one kind only.
	Pauses    bool
	PauseKind int
	// Backlogs has, in place of all other faults, the ends of many tasks pile up on their workers
	// while the store takes no progress, or the owner is replaced.
	Backlogs bool
	// SmallRecords has a store that takes small records and appends only, and jobs with many
	// occurrences.
	SmallRecords bool
	// Calm has no faults at all.
	Calm bool
	// PolicyEvery, if positive, is the time between changes of the policy beside all faults.
	PolicyEvery time.Duration
	// Mixed has a load like that of the users: gangs, labels, data on racks, runs that fail,
	// tasks that need advice. WidthFactor and WorkFactor, if over 1, multiply the tasks of a step
	// and the work of a task.
	Mixed       bool
	WidthFactor float64
	WorkFactor  float64
	// Later is the number of machines that come into service during the soak.
	Later int
}

// calmLoad reports whether only single faults are injected, each followed by a quiet time.
func (o *Options) calmLoad() bool { return o.UnfitAlone || o.Pauses || o.Backlogs || o.Calm }

// smallLimits are sizes that the progress of some jobs and most batches exceed.
var smallLimits = external.StoreLimits{RecordBytes: 1000, AppendBytes: 3000}

// storeLimits returns the sizes that the store takes.
func storeLimits(o Options) external.StoreLimits {
	if o.SmallRecords {
		return smallLimits
	}
	return store.Limits
}

// testbed is a set of machines with stand-ins for the platform around them.
type testbed struct {
	opts Options
	// host is a loopback address used by this soak alone. With a shared address, another
	// soak could take the port of a process that was killed.
	host     *loopback.Host
	rng      *rand.Rand
	store    *store.Store
	fleet    *fleet.Live
	workers  []*Proxy
	machines []*machine
	servers  []*http.Server
	network  network
	calm     calm
	// started is the number of machines that are or have been in service, the first ones.
	started  atomic.Int64
	faults   *slog.Logger
	faultLog *os.File
	stop     context.CancelFunc
	// deadlyJobs holds the IDs of jobs whose first task crashes its workers.
	deadlyJobs sync.Map
	// mixedJobs holds the jobs of the mixed load, by ID; each is a planner.
	mixedJobs sync.Map
	policyMu  sync.Mutex
	// policyVersion is the version of the policy that was written last.
	policyVersion int
}

func newTestbed(o Options) (*testbed, error) {
	s := &testbed{opts: o, host: loopback.New(os.Getpid()), rng: rand.New(rand.NewPCG(o.Seed, 0)), store: store.New()}
	s.fleet = fleet.NewLive(s.work)
	if err := s.openFaultLog(); err != nil {
		return nil, err
	}
	s.setUpCrashes()
	if o.Mixed {
		s.setUpMixed()
	}
	s.store.SetLimits(storeLimits(o))
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.fleet.Run(ctx)
	s.putPolicy(0)
	storeAddr, err := s.serve(platformtest.NewStore(s.store))
	if err != nil {
		return nil, err
	}
	workerAddr, err := s.serve(platformtest.NewWorker(s.fleet))
	if err != nil {
		return nil, err
	}
	for n := range o.Workers {
		if err := s.addWorker(n, workerAddr); err != nil {
			return nil, err
		}
	}
	return s, s.addMachines(storeAddr)
}

// planner says how the runs of a job's tasks go.
type planner interface {
	plan(t job.TaskID, run int64) (d time.Duration, fails bool)
}

// work returns how long a run of a task takes, and whether it fails.
func (s *testbed) work(t job.TaskID, run int64) (time.Duration, bool) {
	if m, ok := s.mixedJobs.Load(t.Job); ok {
		return m.(planner).plan(t, run)
	}
	return time.Duration(100+37*(t.Index+len(t.Job)*t.Step)%900) * time.Millisecond, false
}

func (s *testbed) serve(h http.Handler) (string, error) {
	ln, err := s.host.Listen()
	if err != nil {
		return "", eris.Wrap(ErrSetup, err.Error())
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// maxClockLag is the largest share by which a worker's clock is slow.
const maxClockLag = 0.02

func (s *testbed) addWorker(n int, addr string) error {
	p, err := NewProxy(s.host, addr, route{network: &s.network, caller: s.network.callerName, target: string(workerName(n))})
	if err != nil {
		return eris.Wrap(ErrSetup, err.Error())
	}
	s.workers = append(s.workers, p)
	s.fleet.With(func(f *fleet.Fleet) {
		f.Add(external.Worker{
			ID: workerName(n), Zone: dataCentre(n), Labels: []string{s.kind(n), s.rack(n)}, Rack: s.rack(n),
			Capacity: s.capacity(),
		})
		f.Machine(workerName(n)).ClockRate = 1 - maxClockLag*s.rng.Float64()
		f.Machine(workerName(n)).Unguarded = s.unguarded()
		f.Machine(workerName(n)).Pace = pace(n)
	})
	s.register(n)
	return nil
}

// register writes a worker's entry to the store, as a real worker does periodically.
func (s *testbed) register(n int) { s.registerAs(n, "ready") }

// registerAs writes a worker's entry with the given state.
func (s *testbed) registerAs(n int, state string) {
	var born int64
	var has job.Resources
	s.fleet.With(func(f *fleet.Fleet) {
		born, has = f.Machine(workerName(n)).StartedMS, f.Machine(workerName(n)).Capacity
	})
	entry := fmt.Sprintf(`{"backend":"p","addr":%q,"zone":%q,"state":%q,"capacity":{"cpu":%d,"mem_mb":%d,"gpu":%d},"labels":[%q,%q],"born":%d}`,
		s.workers[n].Addr(), dataCentre(n), state, has.CPU, has.MemMB, has.GPU, s.kind(n), s.rack(n), born)
	s.store.Put(platform.TopicWorkers, string(workerName(n)), []byte(entry))
}

func (s *testbed) addMachines(storeAddr string) error {
	var controls, seeds []string
	var links []*Proxy
	for n := range s.opts.Machines {
		a, err := s.host.FreeAddr()
		if err != nil {
			return err
		}
		p, err := NewProxy(s.host, a, route{network: &s.network, caller: s.network.callerName, target: machineName(n)})
		if err != nil {
			return eris.Wrap(ErrSetup, err.Error())
		}
		controls, links, seeds = append(controls, a), append(links, p), append(seeds, p.Addr())
	}
	for n, control := range controls {
		caller := func(net.Conn) string { return machineName(n) }
		p, err := NewProxy(s.host, storeAddr, route{network: &s.network, caller: caller, target: storeName})
		if err != nil {
			return eris.Wrap(ErrSetup, err.Error())
		}
		advice, err := s.serveAdvice(caller)
		if err != nil {
			return err
		}
		m, err := newMachine(s.opts, s.host, n, seeds[:min(3, len(seeds))], control, paths{store: p, link: links[n], advice: advice})
		if err != nil {
			return err
		}
		s.machines = append(s.machines, m)
		s.network.addMachine(m)
	}
	for range s.opts.Machines - s.opts.Later {
		if err := s.addToService(); err != nil {
			return err
		}
	}
	return nil
}

// serveAdvice serves the advice service to one machine. It returns the proxy, or nil if no task
// needs advice.
func (s *testbed) serveAdvice(caller func(net.Conn) string) (*Proxy, error) {
	if !s.opts.Mixed {
		return nil, nil
	}
	addr, err := s.serve(platformtest.NewAdvice(s.fleet, adviceDecide, adviceEach))
	if err != nil {
		return nil, err
	}
	p, err := NewProxy(s.host, addr, route{network: &s.network, caller: caller, target: adviceName})
	if err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	return p, nil
}

// addToService starts the next machine, if there is one left.
func (s *testbed) addToService() error {
	n := int(s.started.Load())
	if n == len(s.machines) {
		return nil
	}
	s.started.Add(1)
	return s.machines[n].start(s.opts.Program)
}

// inService returns the machines that have been started, and may be down.
func (s *testbed) inService() []*machine { return s.machines[:s.started.Load()] }

func (s *testbed) close() {
	for _, m := range s.machines {
		m.close()
	}
	for _, w := range s.workers {
		w.Close()
	}
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.stop()
	_ = s.faultLog.Close()
}
