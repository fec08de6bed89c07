package soak

import (
	"context"
	"maps"
	"sync"

	"golang.org/x/time/rate"
)

// Names of the store and of the advice service as ends of connections.
const (
	storeName  = "store"
	adviceName = "advice"
)

// rule gives the mode of the connections that one end has opened to another, by their names.
type rule func(caller, target string) Mode

// between is a rule by which a mode holds for connections whose ends differ in a property.
func between(mode Mode, has func(name string) bool) rule {
	return func(caller, target string) Mode {
		if has(caller) == has(target) {
			return Pass
		}
		return mode
	}
}

// network knows the paths between machines, workers and the store. The zero value lets all
// pass.
type network struct {
	mu sync.Mutex
	// rules are those in force, by the name of the fault.
	rules map[string]rule
	// rates bounds the bytes that an end sends, and those that it receives.
	rates map[string]narrowPath
	// proxies are all proxies whose connections cross the network.
	proxies  []*Proxy
	machines []*machine
}

// narrowPath is the path of one end, with a rate for each direction.
type narrowPath struct{ out, in *rate.Limiter }

// join adds a proxy.
func (n *network) join(p *Proxy) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proxies = append(n.proxies, p)
}

// addMachine adds a machine, before its process is started.
func (n *network) addMachine(m *machine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines = append(n.machines, m)
}

// setRule puts a rule in force under a name; nil ends it.
func (n *network) setRule(name string, r rule) {
	n.mu.Lock()
	n.rules = maps.Clone(n.rules)
	if n.rules == nil {
		n.rules = make(map[string]rule)
	}
	n.rules[name] = r
	if r == nil {
		delete(n.rules, name)
	}
	proxies := n.proxies
	n.mu.Unlock()
	for _, p := range proxies {
		p.resetConns()
	}
}

// partition cuts off an island, some of the machines and workers and perhaps the store: mode
// holds for all connections between it and the rest. With mode Pass the network is whole again.
func (n *network) partition(mode Mode, island map[string]bool) {
	n.setRule("partition", between(mode, func(name string) bool { return island[name] }))
}

// modeBetween returns the mode of a connection between two ends, given by their names. Of
// several rules the one that lets least pass counts.
func (n *network) modeBetween(caller, target string) Mode {
	n.mu.Lock()
	rules := n.rules
	n.mu.Unlock()
	strictest := Pass
	for _, r := range rules {
		strictest = max(strictest, r(caller, target))
	}
	return strictest
}

// narrow limits what an end sends, and what it receives, to a number of bytes a second, shared
// by all its connections; 0 ends the limit.
func (n *network) narrow(name string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rates == nil {
		n.rates = make(map[string]narrowPath)
	}
	limiter := func() *rate.Limiter { return rate.NewLimiter(rate.Limit(bytesPerSecond), segmentBytes) }
	n.rates[name] = narrowPath{out: limiter(), in: limiter()}
	if bytesPerSecond == 0 {
		delete(n.rates, name)
	}
}

// awaitTurn waits until the paths of both ends have room for a segment.
func (n *network) awaitTurn(sender, receiver string, bytes int) {
	n.mu.Lock()
	out, in := n.rates[sender].out, n.rates[receiver].in
	n.mu.Unlock()
	for _, l := range []*rate.Limiter{out, in} {
		if l != nil {
			_ = l.WaitN(context.Background(), bytes) // a segment is no longer than the burst
		}
	}
}
