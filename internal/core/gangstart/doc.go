// Package gangstart bounds the time between the first and the last start of a gang.
//
// Load pattern: an owner short of processor time orders all members of a gang in one step, and its
// calls leave over seconds, behind others and on new connections. Workers on which members run wait for
// the rest for a limited time, and their capacity is wasted. So orders that are sent too late are
// not sent, and a gang that is not complete in time is stopped while its members still wait.
//
// The package has no clock; its callers pass the time.
package gangstart
