// Package soak runs the real programs as separate processes on loopback, together
// with stand-ins for the platform. It injects faults from outside (signals, a proxy
// in each connection, partitions of the network, faults of the store and of workers),
// and meanwhile checks the guarantees given to callers. Faults overlap; a seed
// reproduces their sequence.
package soak
