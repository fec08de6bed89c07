// Package cellplay simulates the cell's core and the stand-in fleet in virtual time,
// to compare rankings of jobs, loads and numbers of workers. The network only adds
// latency. The slowdown of tasks that run away from their data or are spread over
// racks is not modelled.
package cellplay
