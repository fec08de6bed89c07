// Package entry is the callers' HTTP/JSON API. It checks what callers send,
// keeps each account within its limits, finds the scheduler that owns the
// request's key and holds the caller's connection until the answer is whole.
// Package route decides whom to ask; this package carries its decisions out.
package entry
