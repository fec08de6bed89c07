// Package process holds what every program does alike: flags and environment,
// checks of settings, logs, version, signals, the health and metrics listener.
package process
