package confsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
	"coltsfootmux/internal/wire"
)

const (
	logLatency = 45 * time.Millisecond
	linkDelay  = 20 * time.Millisecond
	// inForceBound is how long a change may take to be in force everywhere.
	inForceBound = 13 * time.Second
)

var errCut = errors.New("cut off")

// group is a number of hosts in one bubble of virtual time.
type group struct {
	t     *testing.T
	log   *logstore.Store
	mu    sync.Mutex
	hosts map[string]*host
	made  int
	calls atomic.Int64
	bytes atomic.Int64
	// reads counts the entries that hosts read off the log.
	reads atomic.Int64
	// silent is how many hosts the list shows that never answer.
	silent int
}

// host is one store with what it runs on.
type host struct {
	store  *Store
	client *logclient.Client
	self   model.Host
	cutLog atomic.Bool
	stop   context.CancelFunc
	done   chan struct{}
	// fell is set when a version was followed by a lower one.
	fell atomic.Bool
}

func newGroup(t *testing.T, n int) *group {
	g := &group{t: t, hosts: make(map[string]*host)}
	g.log = logstore.New(logstore.Options{AppendLatency: map[model.Region]time.Duration{"home": logLatency}})
	for range n {
		g.start()
	}
	return g
}

// Hosts shows every running host at once.
func (g *group) Hosts(context.Context) ([]model.Host, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []model.Host
	for _, h := range g.hosts {
		out = append(out, h.self)
	}
	for i := range g.silent {
		id := fmt.Sprintf("gone-%03d", i)
		out = append(out, model.Host{ID: model.HostID(id), Addr: id, Role: model.RoleScheduler, State: model.HostLive})
	}
	return out, nil
}

// addSilent puts hosts on the list that never answer.
func (g *group) addSilent(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent += n
}

// cutLog is a log that one host can be cut off from.
type cutLog struct {
	platform.Log
	g *group
	h *host
}

func (l cutLog) Read(ctx context.Context, s platform.Stream, from model.Offset, n int, wait time.Duration) ([]platform.Entry, error) {
	if l.h.cutLog.Load() {
		return nil, errCut
	}
	es, err := l.Log.Read(ctx, s, from, n, wait)
	l.g.reads.Add(int64(len(es)))
	return es, err
}

func (l cutLog) Bounds(ctx context.Context, s platform.Stream) (platform.Bounds, error) {
	if l.h.cutLog.Load() {
		return platform.Bounds{}, errCut
	}
	return l.Log.Bounds(ctx, s)
}

// Exchange carries a call to another host of the group.
func (g *group) exchange(ctx context.Context, from model.HostID, addr string, push wire.ConfigPush) (wire.ConfigReply, error) {
	g.mu.Lock()
	h := g.hosts[addr]
	g.mu.Unlock()
	if h == nil {
		<-ctx.Done()
		return wire.ConfigReply{}, ctx.Err()
	}
	time.Sleep(linkDelay)
	have := h.store.Offer(context.Background(), from, push)
	time.Sleep(linkDelay)
	g.calls.Add(1)
	g.bytes.Add(int64(len(push.Record) + len(have.Record)))
	return have, nil
}

type groupPeers struct {
	g    *group
	from model.HostID
}

func (p groupPeers) Exchange(ctx context.Context, addr string, push wire.ConfigPush) (wire.ConfigReply, error) {
	return p.g.exchange(ctx, p.from, addr, push)
}

func (g *group) start() *host {
	g.made++
	id := fmt.Sprintf("host-%03d", g.made)
	h := &host{done: make(chan struct{})}
	h.self = model.Host{ID: model.HostID(id), Addr: id, Role: model.RoleScheduler, State: model.HostLive}
	log := g.log.Client("home")
	h.client = logclient.New(log, logclient.Options{Seed: uint64(g.made)})
	h.store = New(Options{
		Log: cutLog{log, g, h}, Writer: h.client, Peers: groupPeers{g, h.self.ID}, Hosts: g, Self: h.self,
	})
	var last atomic.Uint64
	h.store.OnChange(func(v *config.Versioned) {
		if old := last.Swap(uint64(v.Version)); old > uint64(v.Version) {
			h.fell.Store(true)
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	g.mu.Lock()
	g.hosts[id] = h
	g.mu.Unlock()
	go func() {
		_ = h.store.Run(ctx)
		close(h.done)
	}()
	return h
}

func (g *group) end(h *host) {
	g.mu.Lock()
	delete(g.hosts, h.self.Addr)
	g.mu.Unlock()
	h.stop()
	<-h.done
	h.client.Close()
	if h.fell.Load() {
		g.t.Errorf("%s fell to an older version", h.self.ID)
	}
}

func (g *group) all() []*host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*host
	for _, h := range g.hosts {
		out = append(out, h)
	}
	return out
}

func (g *group) endAll() {
	for _, h := range g.all() {
		g.end(h)
	}
}

func (g *group) down(is bool) { g.log.SetFault(fault.Fault{Down: is}) }

func (h *host) version() config.Version {
	if v := h.store.Current(); v != nil {
		return v.Version
	}
	return 0
}

// publish changes an exception on top of a host's version.
func (g *group) publish(h *host, id string) (settings.Verdict, error) {
	rec := &settings.Record{ID: id, Base: h.version(), Author: "ada", Reason: "test", At: time.Now()}
	rec.Change.Ops = []settings.Op{{PutException: &config.Exception{ID: "e", Reason: id, Account: "lab"}}}
	if rec.Base == 0 {
		rec.Change = settings.Change{Document: &config.Document{Accounts: []config.Account{{Name: "lab"}}}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), inForceBound)
	defer cancel()
	return h.store.Publish(ctx, rec)
}

func (g *group) mustPublish(h *host, id string) config.Version {
	g.t.Helper()
	v, err := g.publish(h, id)
	if err != nil || v.Ruling != settings.RulingAccepted {
		g.t.Fatalf("publish %s: %v %v", id, v.Ruling, err)
	}
	return v.Version
}

// inForce waits until every host has a version and gives the time that it took.
func (g *group) inForce(v config.Version) time.Duration {
	g.t.Helper()
	from := time.Now()
	for {
		missing := 0
		for _, h := range g.all() {
			if h.version() < v {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(from)
		}
		if time.Since(from) > inForceBound {
			g.t.Fatalf("%d hosts lack version %d after %v", missing, v, inForceBound)
		}
		time.Sleep(time.Millisecond)
	}
}

func (g *group) ready(h *host, within time.Duration) bool {
	for range int(within / (10 * time.Millisecond)) {
		if h.store.Ready() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
