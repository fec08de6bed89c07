// Package contact decides how many workers a new owner asks at once.
//
// Load pattern: a take-over. All workers of the pool have to be asked before
// anything of the term before may start again, hundreds over links of tens of
// milliseconds and on new connections, by a process whose processor they can
// fill: its term's renewals then wait behind the answers. The window grows while
// answers are prompt and shrinks when they age, so that a strong machine is
// bounded by the links and a weak one by its processor.
package contact
