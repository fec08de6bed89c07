// Package fleet is a stand-in for the platform's workers: machines that start,
// stop and list runs under fencing tokens and leases, with the semantics that
// the product relies on, on a clock that its user moves.
//
// It also keeps an account of what must never happen, such as two runs of one
// task at a time; tests read it with Faults.
package fleet
