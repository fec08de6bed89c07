// Package linktest gives tests a network between two ends of a link that can go
// silent.
package linktest
