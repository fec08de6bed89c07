// Package ownership decides which cells and key groups one scheduler owns:
// claims read in log order, succession, fencing, scanning, holds, hand-over.
package ownership
