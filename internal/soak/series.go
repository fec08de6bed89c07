package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"coltsfootmux/platform"
)

// seriesStream keeps the random numbers of series apart from those of the faults.
const seriesStream = 7

const (
	meanSeriesGap = 1500 * time.Millisecond
	maxSignalGap  = 400 * time.Millisecond
	drainTime     = 2500 * time.Millisecond
	maxDrainDelay = 3 * time.Second
)

// oddEntries are entries of the worker list that no worker writes.
var oddEntries = [...]string{
	``, `{`, `[]`, `{"backend":"p"}`, `{"backend":"p","addr":"127.0.0.1:99999","state":"ready","capacity":{"cpu":8000,"mem_mb":8000,"gpu":4}}`,
	`{"backend":"p","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":9223372036854775807,"mem_mb":9223372036854775807,"gpu":9223372036854775807}}`,
	`{"backend":"p","addr":"127.0.0.1:1","state":"draining","remaining_ms":1e300,"born":9223372036854775807,"capacity":{"cpu":1,"mem_mb":1,"gpu":1}}`,
}

// injectSeries begins series of planned work, and of changes of the worker list, that overlap
// each other and the faults.
func (s *testbed) injectSeries(until time.Time) []string {
	rng := rand.New(rand.NewPCG(s.opts.Seed, seriesStream))
	var names []string
	var inForce sync.WaitGroup
	for {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanSeriesGap))))
		if time.Now().After(until) {
			break
		}
		name, play := s.randomSeries(rng)
		names = append(names, name)
		inForce.Go(func() {
			f := fault{name, func() {}, func() {}}
			s.beginFault(f)
			play()
			s.endFault(f)
		})
	}
	inForce.Wait()
	return names
}

// randomSeries returns a random series. All that it draws is drawn before it plays.
func (s *testbed) randomSeries(rng *rand.Rand) (name string, play func()) {
	m := s.inService()[rng.IntN(len(s.inService()))]
	n := rng.IntN(len(s.workers))
	hangups, gap := rng.IntN(6), time.Duration(1+rng.Int64N(int64(maxSignalGap)))
	delay := time.Duration(rng.Int64N(int64(maxDrainDelay)))
	odd := oddEntries[rng.IntN(len(oddEntries))]
	switch rng.IntN(5) {
	case 0, 1:
		return fmt.Sprintf("stop %s with %d hangups", m.name, hangups), func() { s.stopWithHangups(m, hangups, gap) }
	case 2:
		return fmt.Sprintf("entry of worker %d expires", n), func() {
			s.store.Put(platform.TopicWorkers, string(workerName(n)), nil)
			time.Sleep(delay)
			s.register(n)
		}
	case 3:
		return fmt.Sprintf("worker %d drains and leaves", n), func() { s.drainWorker(n, delay) }
	default:
		return fmt.Sprintf("odd entry of worker %d: %.60s", n, odd), func() {
			s.store.Put(platform.TopicWorkers, string(workerName(n)), []byte(odd))
			s.store.Put(platform.TopicWorkers, "odd", []byte(odd))
			time.Sleep(delay)
			s.register(n)
		}
	}
}

// stopWithHangups asks a machine's process to stop, hangs it up while it shuts down, and
// starts it again when it has ended.
func (s *testbed) stopWithHangups(m *machine, hangups int, gap time.Duration) {
	m.signal(syscall.SIGTERM)
	for range hangups {
		time.Sleep(gap)
		m.signal(syscall.SIGHUP)
	}
	m.awaitExit(grace)
	m.kill()
	_ = m.start(s.opts.Program)
}

// drainWorker lets a worker drain, with its entry expiring while it works on, and leave. Some
// time later it is back.
func (s *testbed) drainWorker(n int, delay time.Duration) {
	s.registerAs(n, "draining")
	time.Sleep(drainTime)
	if delay > maxDrainDelay/2 {
		s.store.Put(platform.TopicWorkers, string(workerName(n)), nil)
	}
	time.Sleep(delay)
	s.crashWorker(n)
	s.store.Put(platform.TopicWorkers, string(workerName(n)), nil)
	time.Sleep(crashedTime)
	s.restartWorker(n)
}
