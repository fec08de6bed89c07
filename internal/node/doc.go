// Package node puts together what every program on an own host has in common:
// settings, clients of the platform, links to other programs, the configuration
// in force, and a listener with health, readiness and metrics.
package node
