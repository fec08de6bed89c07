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
	// inForceTimeout is how long a change may take to be in force on all hosts.
	inForceTimeout = 13 * time.Second
)

var errLogCut = errors.New("cut off")

// cluster is a number of hosts in one synctest bubble.
type cluster struct {
	t          *testing.T
	log        *logstore.Store
	mu         sync.Mutex
	hosts      map[string]*host
	startCount int
	calls      atomic.Int64
	bytes      atomic.Int64
	// reads counts the entries that hosts read off the log.
	reads atomic.Int64
	// unresponsive is how many hosts on the list never answer.
	unresponsive int
}

// host is a store with its log client and host entry.
type host struct {
	store  *Store
	client *logclient.Client
	self   model.Host
	logCut atomic.Bool
	stop   context.CancelFunc
	done   chan struct{}
	// regressed is set if a version was followed by a lower one.
	regressed atomic.Bool
}

func newCluster(t *testing.T, n int) *cluster {
	g := &cluster{t: t, hosts: make(map[string]*host)}
	g.log = logstore.New(logstore.Options{AppendLatency: map[model.Region]time.Duration{"home": logLatency}})
	for range n {
		g.start()
	}
	return g
}

// Hosts returns every running host, and the unresponsive ones.
func (g *cluster) Hosts(context.Context) ([]model.Host, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []model.Host
	for _, h := range g.hosts {
		out = append(out, h.self)
	}
	for i := range g.unresponsive {
		id := fmt.Sprintf("gone-%03d", i)
		out = append(out, model.Host{ID: model.HostID(id), Addr: id, Role: model.RoleScheduler, State: model.HostLive})
	}
	return out, nil
}

// addUnresponsive adds hosts to the list that never answer.
func (g *cluster) addUnresponsive(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unresponsive += n
}

// cuttableLog is a log that one host can be cut off from.
type cuttableLog struct {
	platform.Log
	g *cluster
	h *host
}

func (l cuttableLog) Read(ctx context.Context, s platform.Stream, from model.Offset, n int, wait time.Duration) ([]platform.Entry, error) {
	if l.h.logCut.Load() {
		return nil, errLogCut
	}
	es, err := l.Log.Read(ctx, s, from, n, wait)
	l.g.reads.Add(int64(len(es)))
	return es, err
}

func (l cuttableLog) Bounds(ctx context.Context, s platform.Stream) (platform.Bounds, error) {
	if l.h.logCut.Load() {
		return platform.Bounds{}, errLogCut
	}
	return l.Log.Bounds(ctx, s)
}

// exchange calls another host of the cluster.
func (g *cluster) exchange(ctx context.Context, from model.HostID, addr string, push wire.ConfigPush) (wire.ConfigReply, error) {
	g.mu.Lock()
	h := g.hosts[addr]
	g.mu.Unlock()
	if h == nil {
		<-ctx.Done()
		return wire.ConfigReply{}, ctx.Err()
	}
	time.Sleep(linkDelay)
	have := h.store.Exchange(context.Background(), from, push)
	time.Sleep(linkDelay)
	g.calls.Add(1)
	g.bytes.Add(int64(len(push.Record) + len(have.Record)))
	return have, nil
}

type clusterPeers struct {
	g    *cluster
	from model.HostID
}

func (p clusterPeers) Exchange(ctx context.Context, addr string, push wire.ConfigPush) (wire.ConfigReply, error) {
	return p.g.exchange(ctx, p.from, addr, push)
}

func (g *cluster) start() *host {
	g.startCount++
	id := fmt.Sprintf("host-%03d", g.startCount)
	h := &host{done: make(chan struct{})}
	h.self = model.Host{ID: model.HostID(id), Addr: id, Role: model.RoleScheduler, State: model.HostLive}
	log := g.log.Client("home")
	h.client = logclient.New(log, logclient.Options{Seed: uint64(g.startCount)})
	h.store = New(Options{
		Log: cuttableLog{log, g, h}, Writer: h.client, Peers: clusterPeers{g, h.self.ID}, Hosts: g, Self: h.self,
	})
	var last atomic.Uint64
	h.store.OnChange(func(v *config.Versioned) {
		if old := last.Swap(uint64(v.Version)); old > uint64(v.Version) {
			h.regressed.Store(true)
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

func (g *cluster) stopHost(h *host) {
	g.mu.Lock()
	delete(g.hosts, h.self.Addr)
	g.mu.Unlock()
	h.stop()
	<-h.done
	h.client.Close()
	if h.regressed.Load() {
		g.t.Errorf("%s went back to an older version", h.self.ID)
	}
}

func (g *cluster) all() []*host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*host
	for _, h := range g.hosts {
		out = append(out, h)
	}
	return out
}

func (g *cluster) stopAll() {
	for _, h := range g.all() {
		g.stopHost(h)
	}
}

func (g *cluster) setLogDown(is bool) { g.log.SetFault(fault.Fault{Down: is}) }

func (h *host) version() config.Version {
	if v := h.store.Current(); v != nil {
		return v.Version
	}
	return 0
}

// publish publishes a change of an exception, based on a host's version.
func (g *cluster) publish(h *host, id string) (settings.Verdict, error) {
	rec := &settings.Record{ID: id, Base: h.version(), Author: "ada", Reason: "test", At: time.Now()}
	rec.Change.Ops = []settings.Op{{PutException: &config.Exception{ID: "e", Reason: id, Account: "lab"}}}
	if rec.Base == 0 {
		rec.Change = settings.Change{Document: &config.Document{Accounts: []config.Account{{Name: "lab"}}}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	return h.store.Publish(ctx, rec)
}

func (g *cluster) mustPublish(h *host, id string) config.Version {
	g.t.Helper()
	v, err := g.publish(h, id)
	if err != nil || v.Ruling != settings.RulingAccepted {
		g.t.Fatalf("publish %s: %v %v", id, v.Ruling, err)
	}
	return v.Version
}

// waitInForce waits until every host has a version and returns the time that it took.
func (g *cluster) waitInForce(v config.Version) time.Duration {
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
		if time.Since(from) > inForceTimeout {
			g.t.Fatalf("%d hosts lack version %d after %v", missing, v, inForceTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

func (g *cluster) ready(h *host, within time.Duration) bool {
	for range int(within / (10 * time.Millisecond)) {
		if h.store.Ready() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
