// Package modelcheck explores small specifications of the safety-critical protocols
// exhaustively: terms, ownership of a key group with at-most-once starts, and
// configuration versions. The specifications are written independently of the cores;
// a test replays their traces through the cores and compares the decisions of both.
package modelcheck
