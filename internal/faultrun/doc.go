// Package faultrun runs the ownership and ledger cores of several hosts in
// virtual time against small fakes of workers, log and host list, and makes
// things fail: messages are delayed, lost, doubled and reordered, hosts pause and
// die, the log goes away, regions lose each other. It counts what callers were
// told against what the workers truly ran.
package faultrun
