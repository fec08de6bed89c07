// Package modelcheck explores small specifications of the protocols that
// must never fail, state by state: terms, ownership with at-most-once starts, and
// configuration versions. The specifications are written apart from the cores; a
// test replays their traces through the cores and compares what both decide.
package modelcheck
