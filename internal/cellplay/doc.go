// Package cellplay plays jobs through the cell's core and the stand-in fleet in
// virtual time, to compare orders of placement, loads and numbers of workers. The
// network only delays; the slowdown of tasks away from their data or spread over
// racks is not modelled.
package cellplay
