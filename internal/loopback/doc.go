// Package loopback gives a process a loopback address of its own, on which
// programs that it starts, stops and starts again find their ports free.
package loopback
