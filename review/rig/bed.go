package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/loopback"
	"coltsfootmux/internal/standin/store"
	"coltsfootmux/platform"
	"coltsfootmux/platform/platformtest"
)

const (
	pool    = "p"
	jobHost = "jobs.example"
	key     = "key-1"
	// urgentQueue has priority 0, batchQueue priority 1.
	urgentQueue = "/u/"
	batchQueue  = "/q/"
)

const policy = `{"version":1,"routes":[
{"name":"q","host":"jobs.example","path_prefix":"/q/","timeout_ms":3000,"slo_ms":1200,"priority":1,"backend":"p","max_tries":4,"stretch":3},
{"name":"u","host":"jobs.example","path_prefix":"/u/","timeout_ms":3000,"slo_ms":500,"priority":0,"backend":"p","max_tries":4,"stretch":1.5}],
"backends":[{"name":"p","admission_check":true}],"limits":{"max_body_bytes":262144},
"tenants":[{"name":"t","api_keys":["key-1"],"guaranteed":{"gpu":16}}]}`

// placed is a run that a worker has started.
type placed struct {
	w    *worker
	life int
	run  int64
}

// bed is a small deployment: the platform's store, workers, and the system's own processes.
type bed struct {
	rec     *record
	trouble bool
	dir     string
	program string
	host    *loopback.Host
	store   *store.Store
	addr    string
	workers []*worker
	nodes   []*node
	stop    chan struct{}

	mu sync.Mutex
	// active holds the runs that are on workers, by task; starts counts the starts of each.
	active map[string][]placed
	starts map[string]int
	// doneNoted holds the tasks of which an end as done was acknowledged.
	doneNoted map[string]bool
	// away holds, by step, the tasks that an order has ended and that have not begun again.
	away map[string]map[string]bool
}

func newBed(rec *record, dir, program string, trouble bool) (*bed, error) {
	b := &bed{
		rec: rec, dir: dir, program: program, trouble: trouble, store: store.New(), stop: make(chan struct{}),
		host:   loopback.New(os.Getpid()),
		active: make(map[string][]placed), starts: make(map[string]int), doneNoted: make(map[string]bool), away: make(map[string]map[string]bool),
	}
	ln, err := b.host.Listen()
	if err != nil {
		return nil, err
	}
	b.addr = ln.Addr().String()
	srv := &http.Server{Handler: platformtest.NewStore(b.store), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	b.store.Put(platform.TopicPolicy, platform.KeyPolicy, []byte(policy))
	return b, nil
}

// putEntry writes a worker's entry, or removes it.
func (b *bed) putEntry(id string, entry []byte) {
	b.store.Put(external.Topic("keyed.servers"), id, entry)
}

// addWorkers starts n workers of a kind.
func (b *bed) addWorkers(n int, kind string, has resources) error {
	for range n {
		addr, err := b.host.FreeAddr()
		if err != nil {
			return err
		}
		no := len(b.workers)
		w := &worker{
			bed: b, name: fmt.Sprintf("m%d", no), addr: addr, rack: fmt.Sprintf("r%d", no/8), capacity: has,
			conns: make(map[net.Conn]http.ConnState), ended: make(chan struct{}),
		}
		b.workers = append(b.workers, w)
		if err := w.begin(fmt.Sprintf("i-%02d", no), kind); err != nil {
			return err
		}
		go w.run(b.stop)
	}
	return nil
}

// started notes a start and checks the rules that hold for every start.
func (b *bed) started(w *worker, o order, s workSpec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.active[o.Task] {
		if p.w != w || p.run != o.Run {
			b.rec.brokenf("TWICE: task %s starts as run %d on %s while run %d is at work on %s, which is up", o.Task, o.Run, w.name, p.run, p.w.name)
		}
	}
	if b.doneNoted[o.Task] {
		b.rec.brokenf("TWICE: task %s starts as run %d on %s after a run has ended as done and that end was acknowledged", o.Task, o.Run, w.name)
	}
	b.active[o.Task] = append(b.active[o.Task], placed{w: w, life: w.life, run: o.Run})
	b.starts[o.Task]++
	delete(b.away[stepOf(o.Task)], o.Task)
	if s.Label != anyLabel && s.Label != w.kind && s.Label != w.rack {
		b.rec.brokenf("ROUTE: task %s, which requires label %s, starts on %s of kind %s, rack %s", o.Task, s.Label, w.name, w.kind, w.rack)
	}
}

// anyLabel stands in a spec for tasks that require no label.
const anyLabel = "-"

// noted notes that the end of a run as done is taken note of.
func (b *bed) noted(w *worker, task string, number int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doneNoted[task] = true
	b.rec.notef("the end of %s %d as done on %s is acknowledged", task, number, w.name)
}

// stepOf returns the name of a task's step.
func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// stopped notes that an order ends a run, and checks the rule on tasks that may be missing.
func (b *bed) stopped(w *worker, r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.spec.MayMiss == 0 || r.percent() < 100 {
		return
	}
	step := stepOf(r.task)
	if b.away[step] == nil {
		b.away[step] = make(map[string]bool)
	}
	if n := len(b.away[step]); n >= r.spec.MayMiss {
		b.rec.brokenf("AVAIL: a stop ends task %s, at work on the sound worker %s, while %d others of its step are away by such orders; %d may be missing", r.task, w.name, n, r.spec.MayMiss)
	}
	b.away[step][r.task] = true
}

// finished notes that a run is over.
func (b *bed) finished(w *worker, task string, number int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active[task] = slices.DeleteFunc(b.active[task], func(p placed) bool { return p.w == w && p.run == number })
}

// on returns the worker that runs a task now, or nil.
func (b *bed) on(task string) *worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.active[task]; len(p) > 0 {
		return p[len(p)-1].w
	}
	return nil
}

// startCount returns how often a task was started.
func (b *bed) startCount(task string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[task]
}

// close ends all that the bed started.
func (b *bed) close() {
	for _, n := range b.nodes {
		n.kill()
	}
	close(b.stop)
}

// waitFor polls until ok holds; it reports whether that happened in time.
func waitFor(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
