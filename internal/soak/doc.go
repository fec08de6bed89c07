// Package soak runs the real programs as separate processes on loopback beside
// stand-ins of the platform, injects faults from outside (signals, a proxy in
// each connection, faults of the store and of workers), and checks the promises
// made to callers while it runs. Series of faults overlap; a seed gives the same
// series again.
package soak
