package scheduler_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/scheduler"
	"coltsfootmux/internal/standin/hostlist"
	"coltsfootmux/internal/standin/logstore"
	"coltsfootmux/internal/standin/worker"
	"coltsfootmux/internal/wire"
)

const patience = 20 * time.Second

// fixed is a configuration that does not change.
type fixed struct{ conf *config.Versioned }

func (f fixed) Current() *config.Versioned         { return f.conf }
func (f fixed) OnChange(func(c *config.Versioned)) {}

// direct reaches stand-in workers without a network.
type direct map[model.WorkerID]*worker.Worker

func (d direct) Dial(w model.Worker) platform.Worker { return d[w.ID] }

// rig is a fleet with a few schedulers.
type rig struct {
	t       *testing.T
	conf    *config.Versioned
	log     *logstore.Store
	hosts   *hostlist.List
	workers direct
	pool    *link.Pool
	members []*member
}

type member struct {
	host   model.Host
	sched  *scheduler.Scheduler
	server *httptest.Server
	links  *link.Server
	pool   *link.Pool
	log    *logclient.Client
	stop   context.CancelFunc
	done   chan struct{}
}

func newRig(t *testing.T, schedulers int) *rig {
	t.Helper()
	r := &rig{
		t: t, log: logstore.New(logstore.Options{}), hosts: hostlist.New(hostlist.Options{}),
		workers: make(direct), pool: link.NewPool(link.PoolOptions{Self: "caller", Region: "home"}),
	}
	r.conf = &config.Versioned{Version: 1, Document: r.document()}
	for i := range schedulers {
		r.start(model.HostID(fmt.Sprintf("h%d", i+1)))
	}
	t.Cleanup(r.stopAll)
	return r
}

func (r *rig) document() config.Document {
	capacity := model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32_000, MemoryMB: 64 << 10}
	doc := config.Document{}
	doc.Fleet.KeyGroups, doc.Fleet.CellsPerGroup, doc.Fleet.Witnesses = 4, 2, 3
	doc.Fleet.DataCentres = []config.DataCentre{{Name: "dc1", Region: "home"}}
	for c := range 3 {
		cell := model.Cell{ID: model.CellID(fmt.Sprintf("rack%d", c+1)), DataCentre: "dc1"}
		for w := range 4 {
			id := model.WorkerID(fmt.Sprintf("%s-w%d", cell.ID, w+1))
			r.workers[id] = worker.New(worker.Options{ID: id, Capacity: capacity, CheckpointTime: 20 * time.Millisecond})
			cell.Workers = append(cell.Workers, model.Worker{ID: id, Addr: string(id), Capacity: capacity})
		}
		doc.Fleet.Cells = append(doc.Fleet.Cells, cell)
	}
	second := config.Duration(time.Second)
	doc.Defaults = config.Defaults{
		LongestWait: 20 * second, LargeWait: 5 * second, UrgentWait: 5 * second, ReclaimWithin: 5 * second,
		CheckpointWithin: second, LeaseTTL: 2 * second, KeyRetention: 600 * second,
		CallerSkew: second / 10, QueueBound: 1000, RatePerSecond: 1000, Concurrency: 100, RetryShare: 0.2,
		MaxAttempts: 3, BodyLimitBytes: 1 << 20, Weights: config.Weights{Completion: 1, Fragmentation: 1},
		Reference: model.Shape{Accelerators: 8},
	}
	doc.Accounts = []config.Account{{Name: "orders", Share: 1}}
	return doc
}

func (r *rig) start(id model.HostID) *member {
	m := &member{done: make(chan struct{})}
	m.links = link.NewServer(link.ServerOptions{Self: id, Region: "home"})
	mux := http.NewServeMux()
	mux.Handle(link.Path, m.links)
	m.server = httptest.NewServer(mux)
	m.host = model.Host{
		ID: id, Role: model.RoleScheduler, Addr: strings.TrimPrefix(m.server.URL, "http://"),
		DataCentre: "dc1", Region: "home", State: model.HostLive,
	}
	m.pool = link.NewPool(link.PoolOptions{Self: id, Region: "home"})
	m.log = logclient.New(r.log.Client("home"), logclient.Options{})
	timing := scheduler.DefaultTiming()
	timing.Tick, timing.HostsEvery, timing.BeatEvery = 10*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	timing.SuspectAfter = 500 * time.Millisecond
	s, err := scheduler.New(scheduler.Options{
		Self: m.host, Log: m.log, RawLog: r.log.Client("home"), Hosts: r.hosts, Workers: r.workers,
		Configs: fixed{r.conf}, Pool: m.pool, Server: m.links, Timing: timing, Logger: r.logger(id),
	})
	if err != nil {
		r.t.Fatal(err)
	}
	m.sched = s
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	go func() {
		defer close(m.done)
		_ = s.Run(ctx)
	}()
	r.hosts.Register(m.host)
	r.members = append(r.members, m)
	return m
}

// logger writes to standard error when the tests are verbose.
func (r *rig) logger(id model.HostID) *slog.Logger {
	if !testing.Verbose() {
		return nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})).With("on", id)
}

// kill ends a scheduler without any hand-over.
func (m *member) kill() {
	m.stop()
	<-m.done
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = m.links.Shutdown(ended)
	m.server.CloseClientConnections()
	m.server.Close()
	_ = m.pool.Close()
	m.log.Close()
}

func (r *rig) stopAll() {
	_ = r.pool.Close()
	for _, m := range r.members {
		select {
		case <-m.done:
		default:
			m.kill()
		}
	}
}

// work gives a piece of single work that runs for a while.
func work(run time.Duration, idempotent bool) model.Work {
	key, _ := uuid.NewV7()
	return model.Work{
		Key: model.Key(key.String()), Account: "orders", Kind: "reservation", Class: model.ClassNormal,
		Idempotent: idempotent, Deadline: time.Now().Add(patience), Submitted: time.Now(), Members: 1,
		Shape: model.Shape{Slots: 1, CPUMilli: 1000, MemoryMB: 512},
		Body:  worker.Spec{RunMS: run.Milliseconds(), AnswerBytes: 100}.Encode(),
	}
}

// submit offers work to schedulers in turn, as an entry host does, until one answers.
func (r *rig) submit(w model.Work) model.Result {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	to := ""
	for i := 0; ctx.Err() == nil; i++ {
		if to == "" {
			to = r.members[i%len(r.members)].host.Addr
		}
		reply, err := link.Call[wire.Submit, wire.SubmitReply](ctx, r.pool, to, wire.KindSubmit, wire.Submit{Work: w, Sum: 1})
		if err == nil && !reply.Moved {
			return reply.Result
		}
		to = ""
		if err == nil {
			to = reply.Owner.Addr
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatalf("work %s was never answered", w.Key)
	return model.Result{}
}

// warm waits until every key group takes non-idempotent work. A group whose
// workers have just started can't prove that a key is new.
func (r *rig) warm() {
	r.t.Helper()
	maps := mapping.New(r.conf.Document.Fleet)
	took := make(map[model.GroupID]bool)
	for end := time.Now().Add(patience); len(took) < maps.Groups(); {
		if time.Now().After(end) {
			r.t.Fatalf("only %d of %d groups take work", len(took), maps.Groups())
		}
		w := work(time.Millisecond, false)
		if g := maps.Group(w.Key); !took[g] {
			took[g] = r.submit(w).Outcome == model.OutcomeDone
		}
	}
}

// runs counts the starts of a key on all workers.
func (r *rig) runs(k model.Key) int {
	n := 0
	for _, w := range r.workers {
		for _, run := range w.Runs() {
			if run.Key == k {
				n++
			}
		}
	}
	return n
}

// story tells where and when a key ran, for failures.
func (r *rig) story(k model.Key) string {
	var b strings.Builder
	for _, w := range r.workers {
		for _, run := range w.Runs() {
			if run.Key == k {
				fmt.Fprintf(&b, "\n  %s lease %s from %s, %s", run.Worker, run.Lease, run.Start.Format(time.StampMicro), run.State)
			}
		}
	}
	return b.String()
}
