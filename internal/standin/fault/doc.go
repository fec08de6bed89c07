// Package fault makes a stand-in's HTTP interface fail in the ways that a real
// service or the network between does.
package fault
