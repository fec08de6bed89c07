// Package process holds what every program does in the same way: flags and
// environment variables, errors for invalid settings, logging, version, signals
// and exit status.
package process
