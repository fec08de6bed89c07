// Package shed decides how much new work is refused since an owner has too little processor time to start
// it, and by whom.
//
// Load pattern: more jobs are accepted than the owner can order the starts of. All of them wait, so that
// none is done in time, and each that waits costs the owner something in every pass. The owner says in the
// record of its term how much is to be refused, which all instances read; each of them refuses that part
// of the jobs that it is asked to accept, the least urgent ones first.
//
// The package has no clock; its callers pass the time.
package shed
