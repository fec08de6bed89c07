// Package interference finds pairs of task profiles of which one slows the other when
// both run on the same worker.
//
// Load pattern: tasks of several profiles share workers. A neighbour that uses up memory
// bandwidth or caches makes a victim's runs longer, while nothing fails.
//
// Statistics. All values are logarithms. A run that ended well is compared with the
// tasks of its step that ran at the same time (Contrast): its value is its duration minus
// their median, and its exposure to a neighbour is the share of its time that the
// neighbour was there minus their mean share. Busy times, which concern the whole step,
// cancel. Model then subtracts from both the mean of the other runs on the same worker,
// of any profile. Speeds of workers and racks cancel, whether they are known or not; a
// neighbour that is always on the same worker gives no evidence. What remains is regressed
// by least squares on the exposures to all neighbours at once, so that a profile that often
// runs beside the culprit is not taken for it. The standard error of an effect is the larger
// of the usual one and the one that takes each worker's runs as one observation.
//
// Values are limited to a factor of maxValue, as a few tasks take many times as long for
// reasons of their own.
//
// A pair is named at a slowdown of the threshold, four standard errors and 12 runs with
// and 12 without the neighbour, where a run counts by the share of its time. It is
// forgotten below two standard errors, two thirds of the threshold (as a logarithm) or
// half of these runs. Each victim's last 200 runs count, and the last 200 with each
// neighbour, for 120 s. At least three
// workers must have shown evidence. The limit by neighbour keeps the evidence about a pair that is
// kept apart: otherwise runs without the neighbour would replace it within seconds.
//
// The package has no clock, goroutine, log or randomness.
package interference
