package fitness

import "math/bits"

// MaxSample is the largest number of workers that are probed at once.
const MaxSample = 16

// Reached is the set of the workers of a sample that have answered: bit n stands for the n-th.
type Reached uint32

// With returns the set with the n-th worker added.
func (r Reached) With(n int) Reached { return r | 1<<n }

// Within returns those of the first n workers.
func (r Reached) Within(n int) Reached { return r & (1<<min(max(n, 0), MaxSample) - 1) }

// Count returns the number of workers.
func (r Reached) Count() int { return bits.OnesCount32(uint32(r)) }

// Peer is what an instance at an address reaches.
type Peer struct {
	Addr    string
	Reached Reached
}

// best returns the peer that reaches most, the first of several; ok is false without peers.
func best(peers []Peer) (p Peer, ok bool) {
	for _, q := range peers {
		if !ok || q.Reached.Count() > p.Reached.Count() {
			p, ok = q, true
		}
	}
	return p, ok
}

// minGain divides the number of workers that anyone reaches to give how many more of them a peer
// must reach than the owner.
const minGain = 4

// judge returns the peer that should own the cell in place of an owner that reaches own, if there is
// one. Each change of owner adds a quarter of the workers that can be reached at all, so that a
// term does not go round in a network that stays as it is.
func judge(own Reached, peers []Peer) (Peer, bool) {
	p, ok := best(peers)
	if !ok {
		return Peer{}, false
	}
	all := own
	for _, q := range peers {
		all |= q.Reached
	}
	n, gain := all.Count(), p.Reached.Count()-own.Count()
	return p, gain > 0 && minGain*gain >= n
}
