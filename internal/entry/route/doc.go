// Package route decides, for each call about a key, which scheduler to ask
// next, when to wait, and what a caller may be told when the time runs out. It
// is deterministic: Step takes an event and gives the one thing to do next.
//
// A scheduler that owns the key's group joins repeats of the same work, so the
// same call may be offered again whenever its fate is in doubt.
package route
