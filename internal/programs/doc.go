// Package programs holds scripted tests that run the programs as separate processes,
// set up as the README describes.
package programs
