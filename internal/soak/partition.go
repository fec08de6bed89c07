package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// partitionStream keeps the random numbers of partitions apart from those of all other faults.
const partitionStream = 9

// Timing of partitions. An owner on an island is replaced within 2 s; all leases that another
// owner may have granted count as expired some 8 s later.
const (
	meanPartitionGap = 1200 * time.Millisecond
	minPartitionTime = time.Second
	maxPartitionTime = 12 * time.Second
)

// injectPartitions cuts the network in two, time after time, beside all other faults.
func (s *testbed) injectPartitions(until time.Time) []string {
	rng := rand.New(rand.NewPCG(s.opts.Seed, partitionStream))
	var names []string
	for {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanPartitionGap))))
		if time.Now().After(until) {
			return names
		}
		f := s.randomPartition(rng)
		names = append(names, f.name)
		s.beginFault(f)
		time.Sleep(minPartitionTime + time.Duration(rng.Int64N(int64(maxPartitionTime-minPartitionTime))))
		s.endFault(f)
	}
}

// randomPartition cuts off some workers and some machines, which are not all machines, half of
// the time with the store.
func (s *testbed) randomPartition(rng *rand.Rand) fault {
	island := make(map[string]bool)
	for _, n := range rng.Perm(len(s.machines))[:1+rng.IntN(max(1, len(s.machines)-1))] {
		island[s.machines[n].name] = true
	}
	for _, n := range rng.Perm(len(s.workers))[:rng.IntN(len(s.workers)+1)] {
		island[string(workerName(n))] = true
	}
	if rng.IntN(2) == 0 {
		island[storeName] = true
	}
	mode := [...]Mode{DropAll, Reset}[rng.IntN(2)]
	return fault{
		name:  fmt.Sprintf("island of %s, %v", strings.Join(sortedNames(island), " "), mode),
		begin: func() { s.network.partition(mode, island) },
		end:   func() { s.network.partition(Pass, nil) },
	}
}

func sortedNames(of map[string]bool) []string {
	var names []string
	for name := range of {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
