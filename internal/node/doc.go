// Package node assembles what every program that runs on a host of its own has
// in common: settings, clients of the platform, links to other programs, the
// current configuration, and a listener that serves health, readiness and metrics.
package node
