// Package worker is a stand-in for the platform's workers: it leases room,
// starts at most one task per lease, keeps fencing epochs and holds on key
// groups, and forgets all of it when it restarts. Its tasks only wait.
//
// The rules stand in state.go and its neighbours, which take the time as a
// parameter and do no I/O. Worker wraps them with a lock, a clock and HTTP.
package worker
