package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
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

// Options are the size and length of a soak.
type Options struct {
	// Program is the path of the program that machines run.
	Program string
	// Dir takes settings and logs.
	Dir      string
	Seed     uint64
	Machines int
	Workers  int
	// LoadTime is how long load and faults last; Settle is the time after them in
	// which everything accepted has to end.
	LoadTime   time.Duration
	SettleTime time.Duration
	// JobsPerSecond is the rate of jobs.
	JobsPerSecond float64
}

// site is a small platform with the machines on it.
type site struct {
	o Options
	// host is the loopback address of this soak alone: beside others, a port that a
	// killed process leaves would be taken by one of theirs.
	host     *loopback.Host
	rng      *rand.Rand
	store    *store.Store
	fleet    *fleet.Live
	workers  []*Proxy
	machines []*machine
	servers  []*http.Server
	stop     context.CancelFunc
}

const config = `{"version":1,"routes":[{"name":"r","host":"jobs.example","path_prefix":"/q/","timeout_ms":3000,"slo_ms":500,"priority":1,"backend":"p","max_tries":20,"stretch":2},
{"name":"u","host":"jobs.example","path_prefix":"/u/","timeout_ms":3000,"slo_ms":500,"priority":0,"backend":"p","max_tries":20,"stretch":1.5}],
"backends":[{"name":"p","admission_check":true}],"limits":{"max_body_bytes":65536},"tenants":[{"name":"t","api_keys":["key-1"],"guaranteed":{"gpu":16}}]}`

func newSite(o Options) (*site, error) {
	s := &site{o: o, host: loopback.New(os.Getpid()), rng: rand.New(rand.NewPCG(o.Seed, 0)), store: store.New()}
	s.fleet = fleet.NewLive(func(t job.TaskID, _ int64) (time.Duration, bool) {
		return time.Duration(100+37*(t.Index+len(t.Job)*t.Step)%900) * time.Millisecond, false
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.fleet.Run(ctx)
	s.store.Put(platform.TopicPolicy, platform.KeyPolicy, []byte(config))
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

func (s *site) serve(h http.Handler) (string, error) {
	ln, err := s.host.Listen()
	if err != nil {
		return "", eris.Wrap(ErrSetup, err.Error())
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// slowestClock is by what share a worker's clock may be slow.
const slowestClock = 0.02

func workerName(n int) external.WorkerID { return external.WorkerID(fmt.Sprintf("i-%02d", n)) }

func (s *site) addWorker(n int, addr string) error {
	p, err := NewProxy(s.host, addr)
	if err != nil {
		return eris.Wrap(ErrSetup, err.Error())
	}
	s.workers = append(s.workers, p)
	rack := fmt.Sprintf("r%d", n/4)
	s.fleet.With(func(f *fleet.Fleet) {
		f.Add(external.Worker{
			ID: workerName(n), Labels: []string{"a", rack}, Rack: rack,
			Capacity: job.Resources{CPU: 8000, MemMB: 8000, GPU: 4},
		})
		f.Machine(workerName(n)).ClockRate = 1 - slowestClock*s.rng.Float64()
	})
	s.register(n)
	return nil
}

// register writes a worker's entry, as the worker does from time to time.
func (s *site) register(n int) {
	var born int64
	s.fleet.With(func(f *fleet.Fleet) { born = f.Machine(workerName(n)).StartedMS })
	entry := fmt.Sprintf(`{"backend":"p","addr":%q,"zone":"z","state":"ready","capacity":{"cpu":8000,"mem_mb":8000,"gpu":4},"labels":["a","r%d"],"born":%d}`,
		s.workers[n].Addr(), n/4, born)
	s.store.Put(platform.TopicWorkers, string(workerName(n)), []byte(entry))
}

func (s *site) addMachines(storeAddr string) error {
	var controls, seeds []string
	var links []*Proxy
	for range s.o.Machines {
		a, err := s.host.FreeAddr()
		if err != nil {
			return err
		}
		p, err := NewProxy(s.host, a)
		if err != nil {
			return eris.Wrap(ErrSetup, err.Error())
		}
		controls, links, seeds = append(controls, a), append(links, p), append(seeds, p.Addr())
	}
	for n, control := range controls {
		m, err := newMachine(s.o.Dir, s.host, n, storeAddr, seeds[:min(3, len(seeds))], control, links[n])
		if err != nil {
			return err
		}
		s.machines = append(s.machines, m)
		if err := m.start(s.o.Program); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) close() {
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
}
