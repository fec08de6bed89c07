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
	// Later is the number of machines that come into service during the soak.
	Later int
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
	// policyVersion is the version of the policy that was written last.
	policyVersion int
}

func newTestbed(o Options) (*testbed, error) {
	s := &testbed{opts: o, host: loopback.New(os.Getpid()), rng: rand.New(rand.NewPCG(o.Seed, 0)), store: store.New()}
	s.fleet = fleet.NewLive(func(t job.TaskID, _ int64) (time.Duration, bool) {
		return time.Duration(100+37*(t.Index+len(t.Job)*t.Step)%900) * time.Millisecond, false
	})
	if err := s.openFaultLog(); err != nil {
		return nil, err
	}
	s.setUpCrashes()
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

// workerCapacity is the capacity of each worker.
var workerCapacity = job.Resources{CPU: 8000, MemMB: 8000, GPU: 4}

// maxClockLag is the largest share by which a worker's clock is slow.
const maxClockLag = 0.02

func workerName(n int) external.WorkerID { return external.WorkerID(fmt.Sprintf("i-%02d", n)) }

// dataCentre returns the data centre of a worker; there are two.
func dataCentre(n int) string { return fmt.Sprintf("z%d", n%2) }

func (s *testbed) addWorker(n int, addr string) error {
	p, err := NewProxy(s.host, addr, route{network: &s.network, caller: s.network.callerName, target: string(workerName(n))})
	if err != nil {
		return eris.Wrap(ErrSetup, err.Error())
	}
	s.workers = append(s.workers, p)
	rack := fmt.Sprintf("r%d", n/4)
	s.fleet.With(func(f *fleet.Fleet) {
		f.Add(external.Worker{
			ID: workerName(n), Zone: dataCentre(n), Labels: []string{"a", rack}, Rack: rack,
			Capacity: workerCapacity,
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
	entry := fmt.Sprintf(`{"backend":"p","addr":%q,"zone":%q,"state":%q,"capacity":{"cpu":%d,"mem_mb":%d,"gpu":%d},"labels":["a","r%d"],"born":%d}`,
		s.workers[n].Addr(), dataCentre(n), state, has.CPU, has.MemMB, has.GPU, n/4, born)
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
		m, err := newMachine(s.opts.Dir, s.host, n, seeds[:min(3, len(seeds))], control, p, links[n])
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
