package experiment

import (
	"fmt"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/core/placement"
)

// TestSeeds prints the standard policy against best fit, averaged over further
// seeds, when COLTSFOOTMUX_EXPERIMENT is set.
func TestSeeds(t *testing.T) {
	if os.Getenv("COLTSFOOTMUX_EXPERIMENT") == "" {
		t.Skip("run by hand")
	}
	const seeds = 4
	makers := []func(uint64) Trace{SmallBursts, LargeBursts, Mixed, CooperativeDay, ObservatoryDay}
	type pair struct{ std, fit Result }
	rs := make([]pair, len(makers)*seeds)
	var g errgroup.Group
	g.SetLimit(3)
	for i := range rs {
		g.Go(func() error {
			tr := makers[i/seeds](uint64(5000 + i))
			rs[i] = pair{std: Run(tr, placement.Standard()), fit: Run(tr, BestFit())}
			return nil
		})
	}
	_ = g.Wait()
	for m := range makers {
		var mean, frag, lost, late float64
		var urgent, reclaim time.Duration
		for _, r := range rs[m*seeds : (m+1)*seeds] {
			mean += r.std.All.Mean.Seconds() / r.fit.All.Mean.Seconds() / seeds
			frag += r.std.Fragmentation / r.fit.Fragmentation / seeds
			lost += r.std.LostHours / r.fit.LostHours / seeds
			late += float64(r.std.LargeLate)
			urgent = max(urgent, r.std.UrgentMax)
			reclaim = max(reclaim, r.std.ReclaimP99)
		}
		fmt.Printf("%-16s mean %.3f frag %.3f lost %.2f late %.0f urgent max %v reclaim p99 %v\n", rs[m*seeds].std.Trace, mean, frag, lost, late, urgent, reclaim)
	}
}
