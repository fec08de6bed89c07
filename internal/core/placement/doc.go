// Package placement decides which work runs where inside the cells that one
// scheduler owns: order of the queue, packing, guarantees and their reclaim,
// gangs, draining for large jobs, and workers or jobs that keep failing.
package placement
