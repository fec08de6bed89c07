// Package programs holds the scripted cases that run the programs as separate
// processes, as the README sets them up.
package programs
