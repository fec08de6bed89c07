// Package link makes and serves calls between the system's own processes. A Pool
// calls a Server over one WebSocket, on which many calls are open at the same time;
// requests and answers are encoded as CBOR. Package core implements the protocol;
// this package moves frames, runs handlers and dials.
//
// The error of a failed call wraps one of ErrNotExecuted, ErrOutcomeUnknown,
// ErrRemote and ErrOverloaded, which tell the caller whether the handler may have run.
package link
