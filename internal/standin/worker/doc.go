// Package worker is a stand-in for the platform's workers: it leases capacity,
// starts at most one task per lease, keeps fencing epochs and holds on key
// groups, and loses all of this state when it restarts. Its tasks only wait.
//
// The rules are methods of state, which take the time as a parameter and do no
// I/O. Worker adds a lock, a clock and HTTP.
package worker
