package dev

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/report"
)

// Traffic returns the bytes that all own hosts have sent, by kind of traffic.
func (c *Cluster) Traffic() []report.Traffic {
	var all []link.ByteCount
	for _, h := range c.Hosts {
		for _, n := range h.nodes() {
			all = append(all, n.Pool.ByteCounts()...)
			all = append(all, n.Server.ByteCounts()...)
		}
	}
	return sumTraffic(all)
}

// sumTraffic adds up the byte counts of each kind and sorts the sums by kind.
func sumTraffic(counts []link.ByteCount) []report.Traffic {
	var out []report.Traffic
	for _, n := range counts {
		i := slices.IndexFunc(out, func(t report.Traffic) bool { return t.Kind == n.Kind })
		if i < 0 {
			out = append(out, report.Traffic{Kind: n.Kind})
			i = len(out) - 1
		}
		out[i].Bytes += n.SentBytes
		if n.CrossRegion {
			out[i].CrossRegion += n.SentBytes
		}
	}
	slices.SortFunc(out, func(a, b report.Traffic) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}
