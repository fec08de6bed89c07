package instance

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/standin/store"
)

// rig is some instances over one stand-in store and fleet, in one process.
type rig struct {
	t     *testing.T
	store *store.Store
	fleet *fleet.Live
	nodes []*node
	// retention is how long ended jobs are known.
	retention time.Duration
	// stale, if set, is how long a term's record may stay unchanged.
	stale time.Duration
	// cutNext has the store turn the next instance away from its start on.
	cutNext bool
	// delay is added to the next instance's claims; settle is as in term.Settings.
	delay, settle time.Duration
}

// node is one instance with its own way to the store.
type node struct {
	inst *Instance
	way  *way
	stop context.CancelFunc
	done chan struct{}
	http *http.Server
}

// way is an instance's own connection to the store, which can be cut.
type way struct {
	external.Log
	cut chan struct{}
	// slow is added to each answer.
	slow atomic.Int64
	// long lets reads wait as long as they ask for.
	long atomic.Bool
}

func (w *way) Append(ctx context.Context, a external.Append) (int64, error) {
	if w.isCut() {
		return 0, eris.Wrap(external.ErrNotExecuted, "turned away")
	}
	if err := w.await(ctx); err != nil {
		return 0, err
	}
	return w.Log.Append(ctx, a)
}

func (w *way) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	if w.isCut() {
		return external.Page{}, eris.Wrap(external.ErrNotExecuted, "turned away")
	}
	if err := w.await(ctx); err != nil {
		return external.Page{}, err
	}
	if w.long.Load() {
		return w.Log.Read(ctx, t, from, wait)
	}
	return w.Log.Read(ctx, t, from, min(wait, 100*time.Millisecond))
}

func (w *way) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	if w.isCut() {
		return external.Page{}, eris.Wrap(external.ErrNotExecuted, "turned away")
	}
	return w.Log.Newest(ctx, t)
}

// await waits for as long as the store is slower than usual.
func (w *way) await(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(w.slow.Load())):
		return nil
	case <-ctx.Done():
		return eris.Wrap(external.ErrOutcomeUnknown, "no answer in time")
	}
}

func (w *way) isCut() bool {
	select {
	case <-w.cut:
		return true
	default:
		return false
	}
}

const (
	testPolicies external.Topic = "policies"
	testWorkers  external.Topic = "workers"
)

// keyless is the version from which on the test's policies have no keys.
const keyless = 100

// decodeTestPolicy reads a version only; the rest is the same in each, but for the
// keys.
func decodeTestPolicy(b []byte) (*job.Policy, error) {
	p := &job.Policy{
		Routes:   []job.Route{{Queue: job.Queue{Name: "q", Pool: "p", MaxTries: 3, Stretch: 3, ObjectiveMS: 1000}, Host: "h", Prefix: "/q/"}},
		Accounts: []job.Account{{Name: "a", Keys: []string{"key-a"}}},
	}
	_, err := fmt.Sscanf(string(b), "%d", &p.Version)
	if p.Version >= keyless {
		p.Accounts[0].Keys = nil
	}
	p.Index()
	return p, err
}

func newRig(t *testing.T, instances int) *rig {
	r := &rig{t: t, store: store.New(), retention: time.Minute}
	r.fleet = fleet.NewLive(func(job.TaskID, int64) (time.Duration, bool) { return 200 * time.Millisecond, false })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.fleet.Run(ctx)
	for n := range 4 {
		w := external.Worker{
			ID: external.WorkerID(fmt.Sprintf("w%d", n)), Pool: "p", Addr: "x", Rack: "r0",
			Capacity: job.Resources{CPU: 8000, MemMB: 8000, GPU: 8}, Labels: []string{"a", "r0"},
		}
		r.fleet.With(func(f *fleet.Fleet) { f.Add(w) })
		r.store.Put(testWorkers, string(w.ID), []byte("up"))
	}
	r.store.Put(testPolicies, "policy", []byte("1"))
	for n := range instances {
		r.add(n)
	}
	return r
}

// add starts an instance with links on loopback.
func (r *rig) add(n int) *node {
	r.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	addr := ln.Addr().String()
	s := Settings{Name: fmt.Sprintf("n%d", n), Incarnation: fmt.Sprintf("n%d/%d", n, len(r.nodes)), LinkAddr: addr, Term: fastTerms(n)}
	s.Term.ClaimDelay += r.delay
	if r.stale > 0 {
		s.Term.StaleAfter, s.Term.ConfirmTimeout, s.Term.ClaimDelay = r.stale, r.stale, 0
	}
	s.Term.MinTenure = r.settle
	s.Cell = cell.Settings{Lease: 2 * time.Second, StartGrace: 500 * time.Millisecond, PreviousOwnerGrace: 500 * time.Millisecond, RemoteDataFactor: 3, Retention: r.retention}
	if len(r.nodes) > 0 {
		s.Peers = []string{r.nodes[0].inst.Settings.LinkAddr}
	}
	w := &way{Log: r.store, cut: make(chan struct{})}
	if r.cutNext {
		close(w.cut)
	}
	inst := New(Options{
		Settings: s, Log: w, Workers: r.fleet, PolicyTopic: testPolicies, PolicyKey: "policy", WorkerTopic: testWorkers,
		DecodePolicy: decodeTestPolicy, DecodeWorker: r.decodeWorker, Logger: slog.New(slog.DiscardHandler),
	})
	mux := http.NewServeMux()
	mux.Handle(link.Path, inst.LinkServer())
	ctx, cancel := context.WithCancel(context.Background())
	nd := &node{inst: inst, way: w, stop: cancel, done: make(chan struct{}), http: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
	go func() { _ = nd.http.Serve(ln) }()
	go func() { inst.Run(ctx); close(nd.done) }()
	r.nodes = append(r.nodes, nd)
	r.t.Cleanup(nd.kill)
	return nd
}

// fastTerms are terms short enough for tests.
func fastTerms(n int) term.Settings {
	return term.Settings{
		RenewInterval: 100 * time.Millisecond, StaleAfter: 600 * time.Millisecond, ConfirmTimeout: 900 * time.Millisecond, QueryPeersAfter: 300 * time.Millisecond,
		RetryInterval: 50 * time.Millisecond, HedgeAfter: 100 * time.Millisecond, ClaimDelay: time.Duration(n) * 60 * time.Millisecond,
	}
}

// kill ends an instance without any hand-over.
func (n *node) kill() {
	n.inst.cancel()
	_ = n.http.Close()
	n.stop()
	<-n.done
	n.inst.Close()
}

func (r *rig) decodeWorker(rec external.Record) (w external.Worker, err error) {
	err = external.ErrMalformedAnswer
	r.fleet.With(func(f *fleet.Fleet) {
		if m := f.Machine(external.WorkerID(rec.Key)); m != nil && string(rec.Value) == "up" {
			w, err = m.Worker, nil
		}
	})
	return w, err
}

// wait polls until ok, for a bounded time.
func (r *rig) wait(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	r.t.Fatalf("never: %s", what)
}

func (r *rig) owner() *node {
	for _, n := range r.nodes {
		if o := n.inst.owner.Load(); o != nil && o.inst.ctx.Err() == nil {
			return n
		}
	}
	return nil
}

// other gives an instance that does not own the cell.
func (r *rig) other() *node {
	for _, n := range r.nodes {
		if n.inst.owner.Load() == nil && n.inst.ctx.Err() == nil {
			return n
		}
	}
	return nil
}

func (r *rig) submit(n *node, id string, tasks int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	j := &job.Job{
		ID: job.ID(id), Account: "a", Spec: "s", SubmittedMS: time.Now().UnixMilli(),
		Queue: job.Queue{Name: "q", Pool: "p", MaxTries: 3, Stretch: 3, ObjectiveMS: 1000},
		Steps: []job.Step{{Count: tasks, CPU: 1000, MemMB: 100, EstimateMS: 200}},
	}
	r.fleet.Submit(j)
	return n.inst.Submit(ctx, j)
}

func (r *rig) status(n *node, id string) (job.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return n.inst.Status(ctx, job.ID(id))
}

func (r *rig) complete(n *node, id string) func() bool {
	return func() bool {
		s, err := r.status(n, id)
		return err == nil && s == job.StatusComplete
	}
}

func (r *rig) checkFleet() {
	r.t.Helper()
	r.fleet.With(func(f *fleet.Fleet) {
		for _, fault := range f.Violations() {
			r.t.Error(fault)
		}
	})
}
