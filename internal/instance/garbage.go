package instance

import "runtime/debug"

// Percentages by which the heap grows between two collections of garbage. An owner makes hundreds of
// megabytes of garbage a second and has thousands of stacks to scan in each collection; the memory limit
// of the process has it collect earlier where there is not as much memory.
const (
	ownerGCPercent = 300
	idleGCPercent  = 100
)

// collectGarbage sets by how much the heap grows between two collections, unless the process has no
// bound of its memory.
func (i *Instance) collectGarbage(percent int) {
	if i.Settings.MemoryLimited {
		debug.SetGCPercent(percent)
	}
}
