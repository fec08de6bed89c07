// Package drain keeps which data centres operators have drained: nothing is started
// there until they take the data centre back. What runs there runs on.
//
// Instances learn of drains from the store and from each other, in any order and more
// than once, and a snapshot of the store may be older than what is already known. Each
// data centre therefore keeps the record with the highest offset.
package drain
