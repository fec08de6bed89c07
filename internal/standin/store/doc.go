// Package store is an in-memory stand-in for the platform's store. It has keyed
// topics with offsets, conditional and idempotent appends, and expiry, and injects
// the faults that the product must tolerate. It implements external.Log.
package store
