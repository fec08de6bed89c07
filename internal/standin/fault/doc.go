// Package fault injects failures into the HTTP interface of a stand-in, of the
// kinds that a real service or the network in front of it has.
package fault
