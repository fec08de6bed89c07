// Package linktest provides a network proxy for tests of links whose connections
// go silent.
package linktest
