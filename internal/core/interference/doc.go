// Package interference finds pairs of task profiles of which one slows the other when
// both run on the same worker.
//
// Load pattern: tasks of several profiles share workers. A neighbour that uses up memory
// bandwidth or caches makes a victim's runs longer, while nothing fails.
//
// Statistics. The value of a run that ended well is the logarithm of its duration, divided
// by its worker's time factor, relative to the median of the tasks of its step that ran at
// the same time: its wave. Values are limited to a factor of 4.5, as a few tasks take many
// times as long for reasons of their own. Its exposure to a neighbour is the share of its
// time during which the neighbour was on the worker. For each victim, the values are
// regressed by least squares on the exposures to all neighbours, with an effect of each
// wave and of each worker. So these are not taken for interference: busy times, which
// concern the whole wave; slow workers and racks, whether their speeds are known or not; and
// a profile that often runs beside the culprit. A neighbour that never leaves its worker
// gives no evidence. The standard error of an effect is the larger of the usual one and the
// one that takes each worker's runs as one observation.
//
// A pair is named at a slowdown of the threshold, four standard errors and 12 runs with
// and 12 without the neighbour, where a run counts by the share of its time. What is left
// of the exposures, once waves, workers and other neighbours are taken out, must amount to
// as many, and there must be three workers and 40 degrees of freedom. A pair is forgotten
// below two standard errors, two thirds of the threshold (as a logarithm) or half of these
// runs.
//
// The last 16 runs on each worker count, and the waves of the last 200 with each neighbour,
// for 120 s. The latter keep the evidence about a pair that is kept apart: otherwise runs
// without the neighbour would replace it within seconds.
//
// The package has no clock, goroutine, log or randomness.
package interference
