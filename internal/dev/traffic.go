package dev

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/link"
)

// Traffic is the number of bytes that one kind of call sent between the system's
// own processes.
type Traffic struct {
	Kind string
	// Bytes counts all, CrossRegion those between regions.
	Bytes       uint64
	CrossRegion uint64
}

// Traffic sums up what all own hosts have sent, by kind.
func (c *Cluster) Traffic() []Traffic {
	var all []link.Count
	for _, h := range c.Hosts {
		for _, n := range h.nodes() {
			all = append(all, n.Pool.Counts()...)
			all = append(all, n.Server.Counts()...)
		}
	}
	return sumTraffic(all)
}

func sumTraffic(counts []link.Count) []Traffic {
	var out []Traffic
	for _, n := range counts {
		i := slices.IndexFunc(out, func(t Traffic) bool { return t.Kind == n.Kind })
		if i < 0 {
			out = append(out, Traffic{Kind: n.Kind})
			i = len(out) - 1
		}
		out[i].Bytes += n.SentBytes
		if n.CrossRegion {
			out[i].CrossRegion += n.SentBytes
		}
	}
	slices.SortFunc(out, func(a, b Traffic) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}
