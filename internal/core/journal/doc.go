// Package journal decides how one process writes to and reads from the log
// service: a Writer that commits records in groups inside an append budget and
// never takes a lost answer for a lost record, a Reader that reads on through
// outages and expired offsets and drops records it has seen, and a Keeper that
// writes live records again before the log forgets them.
//
// All three are deterministic: time and jitter come in with the events.
package journal
