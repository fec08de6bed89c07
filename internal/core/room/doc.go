// Package room compares what tasks need with the free room of workers.
package room
