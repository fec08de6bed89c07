// Package link carries calls between the system's own processes: requests and
// answers, many at once, as CBOR over one WebSocket for each pair of a calling
// pool and an answering server. The decisions are in package core; this package
// moves frames, runs handlers and dials.
//
// Errors: each failed call wraps one of ErrNotSent, ErrLost, ErrRemote and
// ErrOverloaded, which tells the caller what may have happened.
package link
