// Package share finds the client accounts that use far more than their share of the
// workers while work of other accounts waits.
//
// Load pattern: a full pool in which one account submits several times as much work as
// the others. Work of one priority is ordered by its deadline, so that a backlog of this
// account stands before all later work of the others.
//
// An account's usage is the core-seconds of its runs, which decay. Its share is the part
// that its guarantee has in all guarantees. The package has no clock, goroutine or log;
// the order of a map never reaches a result.
package share
