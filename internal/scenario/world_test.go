package scenario_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httpcall"
	"coltsfootmux/internal/platform/httplog"
	"coltsfootmux/internal/platform/httpworker"
	"coltsfootmux/internal/scenario/memnet"
	"coltsfootmux/internal/standin/logstore"
	"coltsfootmux/internal/standin/serve"
	"coltsfootmux/internal/standin/worker"
)

type worldKey struct{}

// world is what the commands of one script act on.
type world struct {
	ctx     context.Context
	stop    context.CancelFunc
	net     *memnet.Net
	servers []*http.Server
	control *http.Client
	log     *logstore.Store
	hosts   map[string]*host
	workers map[string]*worker.Worker
	echoes  map[string][]uint64
	fenced  map[string]string
}

// host is one of the system's own: a client of the log and of the workers.
type host struct {
	rawLog  *httplog.Log
	log     *logclient.Client
	workers *httpworker.Workers
	readers map[platform.Stream]*reader
	keepers map[platform.Stream]*logclient.Keeper
}

// reader keeps what a follower was handed.
type reader struct {
	mu     sync.Mutex
	ids    []string
	resets int
}

func newWorld() *world {
	ctx, stop := context.WithCancel(context.Background())
	n := memnet.New()
	return &world{
		ctx:     ctx,
		stop:    stop,
		net:     n,
		control: &http.Client{Transport: &http.Transport{DialContext: n.Dial, DisableKeepAlives: true}},
		hosts:   make(map[string]*host),
		workers: make(map[string]*worker.Worker),
		echoes:  make(map[string][]uint64),
		fenced:  make(map[string]string),
	}
}

// serve listens at an address.
func (w *world) serve(addr string, h http.Handler) {
	srv := serve.NewServer(h)
	w.servers = append(w.servers, srv)
	l := w.net.Listen(addr)
	go func() { _ = srv.Serve(l) }()
}

// close ends everything, so that no goroutine is left in the bubble.
func (w *world) close() {
	if w.log != nil {
		w.log.SetFault(noFault)
	}
	for _, wk := range w.workers {
		wk.SetFault(worker.Fault{})
	}
	w.stop()
	for _, h := range w.hosts {
		h.log.Close()
		h.rawLog.Close()
		h.workers.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// host gives an own host by name, and makes it at its first mention.
func (w *world) host(name string) *host {
	if h, ok := w.hosts[name]; ok {
		return h
	}
	dial := httpcall.DialFunc(w.net.Dial)
	raw := httplog.New("http://log", httplog.Options{Dial: dial, Timeout: callTimeout})
	h := &host{
		rawLog:  raw,
		log:     logclient.New(raw, logclient.Options{Seed: uint64(len(w.hosts)), CallTimeout: 2 * callTimeout}),
		workers: httpworker.New(httpworker.Options{Dial: dial, Timeout: callTimeout}),
		readers: make(map[platform.Stream]*reader),
		keepers: make(map[platform.Stream]*logclient.Keeper),
	}
	w.hosts[name] = h
	return h
}

// worker gives a host's client of a worker.
func (w *world) worker(hostName, workerName string) platform.Worker {
	return w.host(hostName).workers.Dial(model.Worker{ID: model.WorkerID(workerName), Addr: workerName + ":80"})
}

func (w *world) standin(name string) (*worker.Worker, error) {
	wk, ok := w.workers[name]
	if !ok {
		return nil, fmt.Errorf("no worker %q", name)
	}
	return wk, nil
}

func (r *reader) entry(e platform.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, e.Record.ID)
}

func (r *reader) reset(model.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = nil
	r.resets++
}

// counts gives how many records were handed on, how many of them twice, and how
// often the reader was reset.
func (r *reader) counts() (records, doubled, resets int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := slices.Clone(r.ids)
	slices.Sort(ids)
	distinct := len(slices.Compact(ids))
	return len(r.ids), len(r.ids) - distinct, r.resets
}
