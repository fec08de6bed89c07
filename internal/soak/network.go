package soak

import "sync"

// storeName names the store as an end of a connection.
const storeName = "store"

// network knows which connections a partition cuts. A partition separates the island, some of
// the machines and workers and perhaps the store, from all others. The zero value is whole.
type network struct {
	mu     sync.Mutex
	mode   Mode
	island map[string]bool
	// proxies are all proxies whose connections cross the network.
	proxies  []*Proxy
	machines []*machine
}

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

// partition cuts off an island: mode holds for all connections between it and the rest. With
// mode Pass the network is whole again.
func (n *network) partition(mode Mode, island map[string]bool) {
	n.mu.Lock()
	n.mode, n.island = mode, island
	proxies := n.proxies
	n.mu.Unlock()
	for _, p := range proxies {
		p.resetConns()
	}
}

// modeBetween returns the mode of a connection between two ends, given by their names.
func (n *network) modeBetween(a, b string) Mode {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.island[a] == n.island[b] {
		return Pass
	}
	return n.mode
}
