// Package entry is the callers' HTTP/JSON API. It validates requests, enforces the
// limits of each account, sends each request to the scheduler that owns its key and
// keeps the caller's connection open until the answer is complete. Package route
// selects the schedulers; this package carries out its actions.
package entry
