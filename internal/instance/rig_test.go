package instance

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/budget"
	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/standin/store"
)

// rig is a set of instances that share a stand-in store and fleet, in one process.
type rig struct {
	t     *testing.T
	store *store.Store
	fleet *fleet.Live
	nodes []*node
	// memory is what the jobs of the cell may take at the next instance.
	memory budget.Limit
	// limits are the sizes that the store takes, as the next instances know them.
	limits external.StoreLimits
	// memoryLimited says that the processes of the next instances have a bound of their memory.
	memoryLimited bool
	// retention is how long ended jobs are kept.
	retention time.Duration
	// staleAfter, if set, is how long a term record may stay unchanged before others claim the
	// next term.
	staleAfter time.Duration
	// refuseNext makes the store refuse the next instance from its start on.
	refuseNext bool
	// claimDelay is added to that of the next instance; minTenure is as in term.Settings.
	claimDelay, minTenure time.Duration
	// region and link, if set, are the region of the next instance, and what carries its
	// reads of the store.
	region string
	link   *narrowLink
	// work is how long a task runs.
	work time.Duration
	// platformTerm gives instances the times of the platform instead of short ones.
	platformTerm bool
	// wrapStore, if set, returns what stands between the next instance and the store.
	wrapStore func(external.Store) external.Store
	// advertise, if set, is the address that the next instance gives its peers as its own.
	advertise string
}

// node is one instance with its own connection to the store.
type node struct {
	inst *Instance
	conn *storeConn
	// workers is the instance's path to the workers.
	workers *workerPath
	// gate stands before its server of links.
	gate *linkGate
	stop context.CancelFunc
	done chan struct{}
	http *http.Server
}

// storeConn is an instance's connection to the store, which can be made to refuse calls.
type storeConn struct {
	external.Store
	// refused is closed to make the connection refuse all calls.
	refused chan struct{}
	// latency is added to each answer, in ns.
	latency atomic.Int64
	// longReads lets reads wait as long as they ask for, instead of 100 ms.
	longReads atomic.Bool
	// link, if set, carries the records of reads.
	link *narrowLink
}

func (c *storeConn) Append(ctx context.Context, a external.Append) (int64, error) {
	if c.isRefused() {
		return 0, eris.Wrap(external.ErrNotExecuted, "refused")
	}
	if err := c.delayAnswer(ctx); err != nil {
		return 0, err
	}
	return c.Store.Append(ctx, a)
}

func (c *storeConn) Read(ctx context.Context, t external.Topic, from int64, wait time.Duration) (external.Page, error) {
	if c.isRefused() {
		return external.Page{}, eris.Wrap(external.ErrNotExecuted, "refused")
	}
	if err := c.delayAnswer(ctx); err != nil {
		return external.Page{}, err
	}
	if !c.longReads.Load() {
		wait = min(wait, 100*time.Millisecond)
	}
	p, err := c.Store.Read(ctx, t, from, wait)
	return c.overLink(ctx, p, err)
}

// overLink returns the answer to a read after the link has carried it.
func (c *storeConn) overLink(ctx context.Context, p external.Page, err error) (external.Page, error) {
	if err == nil && c.link != nil {
		err = c.link.transfer(ctx, p)
	}
	return p, err
}

func (c *storeConn) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	if c.isRefused() {
		return external.Page{}, eris.Wrap(external.ErrNotExecuted, "refused")
	}
	p, err := c.Store.Newest(ctx, t)
	return c.overLink(ctx, p, err)
}

// delayAnswer waits for latency or until ctx ends.
func (c *storeConn) delayAnswer(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(c.latency.Load())):
		return nil
	case <-ctx.Done():
		return eris.Wrap(external.ErrOutcomeUnknown, "no answer in time")
	}
}

func (c *storeConn) isRefused() bool {
	select {
	case <-c.refused:
		return true
	default:
		return false
	}
}

const (
	testPolicies external.Topic = "policies"
	testWorkers  external.Topic = "workers"
)

// firstKeylessVersion is the version from which on test policies have no keys.
const firstKeylessVersion = 100

// decodeTestPolicy decodes the version; the rest of the policy is the same in all versions,
// but for the keys.
func decodeTestPolicy(b []byte) (*job.Policy, error) {
	p := &job.Policy{
		Routes:   []job.Route{{Queue: job.Queue{Name: "q", Pool: "p", MaxTries: 3, Stretch: 3, ObjectiveMS: 1000}, Host: "h", Prefix: "/q/"}},
		Accounts: []job.Account{{Name: "a", Keys: []string{"key-a"}}},
	}
	_, err := fmt.Sscanf(string(b), "%d", &p.Version)
	if p.Version >= firstKeylessVersion {
		p.Accounts[0].Keys = nil
	}
	p.Index()
	return p, err
}

const testDrainPrefix = "drain/"

func decodeTestDrain(r external.Record) (dataCentre string, drained, ok bool) {
	dataCentre, ok = strings.CutPrefix(r.Key, testDrainPrefix)
	return dataCentre, len(r.Value) > 0, ok
}

func newRig(t *testing.T, instances int) *rig {
	r := &rig{t: t, store: store.New(), limits: store.Limits, retention: time.Minute, work: 200 * time.Millisecond}
	r.fleet = fleet.NewLive(func(job.TaskID, int64) (time.Duration, bool) { return r.work, false })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.fleet.Run(ctx)
	for n := range 4 {
		w := external.Worker{
			ID: external.WorkerID(fmt.Sprintf("w%d", n)), Zone: fmt.Sprintf("d%d", n%2), Pool: "p", Addr: "x", Rack: "r0",
			Capacity: job.Resources{CPU: 8000, MemMB: 8000, GPU: 8}, Labels: []string{"a", "r0"},
		}
		r.fleet.With(func(f *fleet.Fleet) { f.Add(w) })
		r.store.Put(testWorkers, string(w.ID), []byte("up"))
	}
	r.store.Put(testPolicies, "policy", []byte("1"))
	for n := range instances {
		r.addInstance(n)
	}
	return r
}

// addInstance starts an instance with links on loopback.
func (r *rig) addInstance(n int) *node {
	r.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	addr := ln.Addr().String()
	s := Settings{Name: fmt.Sprintf("n%d", n), Incarnation: fmt.Sprintf("n%d/%d", n, len(r.nodes)), LinkAddr: addr, Term: fastTermSettings(n)}
	s.MemoryLimited, s.Store = r.memoryLimited, r.limits
	s.Term.ClaimDelay += r.claimDelay
	if r.staleAfter > 0 {
		s.Term.StaleAfter, s.Term.ConfirmTimeout, s.Term.ClaimDelay = r.staleAfter, r.staleAfter, 0
	}
	if r.platformTerm {
		s.Term = term.DefaultSettings()
	}
	s.Term.MinTenure = r.minTenure
	s.Cell = cell.Settings{Lease: 2 * time.Second, StartGrace: 500 * time.Millisecond, PreviousOwnerGrace: 500 * time.Millisecond, RemoteDataFactor: 3, Retention: r.retention, Memory: r.memory}
	if len(r.nodes) > 0 {
		s.Peers = []string{r.nodes[0].inst.Settings.LinkAddr}
	}
	s.Region, s.Relay = r.region, n%3 == 0
	s.LinkAddr = cmp.Or(r.advertise, s.LinkAddr)
	conn := &storeConn{Store: r.store, refused: make(chan struct{}), link: r.link}
	if r.wrapStore != nil {
		conn.Store = r.wrapStore(r.store)
	}
	if r.refuseNext {
		close(conn.refused)
	}
	paths := &workerPath{Live: r.fleet}
	inst := New(Options{
		Settings: s, StoreClient: conn, Workers: paths, PolicyTopic: testPolicies, PolicyKey: "policy", WorkerTopic: testWorkers,
		DecodeDrain: decodeTestDrain, DecodePolicy: decodeTestPolicy, DecodeWorker: r.decodeWorker, Logger: slog.New(slog.DiscardHandler),
	})
	mux := http.NewServeMux()
	gate := newLinkGate(inst.LinkServer())
	mux.Handle(link.Path, gate)
	ctx, cancel := context.WithCancel(context.Background())
	nd := &node{inst: inst, conn: conn, workers: paths, gate: gate, stop: cancel, done: make(chan struct{}), http: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}}
	go func() { _ = nd.http.Serve(ln) }()
	go func() { inst.Run(ctx); close(nd.done) }()
	r.nodes = append(r.nodes, nd)
	r.t.Cleanup(nd.kill)
	return nd
}

// fastTermSettings returns terms short enough for tests.
func fastTermSettings(n int) term.Settings {
	return term.Settings{
		RenewInterval: 100 * time.Millisecond, StaleAfter: 600 * time.Millisecond, ConfirmTimeout: 900 * time.Millisecond, StartLimit: 8 * time.Second, KeepLimit: 10 * time.Second, QueryPeersAfter: 300 * time.Millisecond,
		RetryInterval: 50 * time.Millisecond, HedgeAfter: 100 * time.Millisecond, ClaimDelay: time.Duration(n) * 60 * time.Millisecond,
	}
}

// kill ends an instance without a handover.
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

// waitFor polls until ok returns true, and fails the test after 15 s.
func (r *rig) waitFor(what string, ok func() bool) {
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

// nonOwner returns an instance that does not own the cell.
func (r *rig) nonOwner() *node {
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

func (r *rig) isComplete(n *node, id string) func() bool {
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
