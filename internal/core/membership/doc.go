// Package membership joins what two sources tell of workers: the platform's
// lagging host list and the workers' own answers. Either may be wrong; only where
// new work goes depends on it.
package membership
