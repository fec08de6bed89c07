// Package speed estimates the time factors of workers: how long the same work takes on
// a worker, relative to 1 for a usual one.
//
// Load pattern: a quarter of a pool's workers take half as long as the rest, and nobody
// says which. Urgent gangs that land on a slow worker miss objectives that allow for one and
// a half times their work, and a whole gang advances at the pace of its slowest member,
// while fast workers are taken by work that has time. A day lasts half a minute, so a
// worker has to be known after one or two runs.
//
// Evidence is a run's duration relative to the other tasks of its step. Each worker has an
// estimate that shrinks towards the usual factor according to its precision. Placement uses
// the estimates of a pool only while its workers differ by a given ratio.
package speed
