// Package store is a stand-in for the platform's store: keyed topics with
// offsets, conditional and idempotent appends, expiry, and the faults that the
// product has to live with. It implements external.Store in memory.
package store
