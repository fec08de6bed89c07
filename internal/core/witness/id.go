package witness

import "github.com/cespare/xxhash/v2"

// ID identifies an incarnation of an instance.
type ID uint64

// IDOf returns the ID of an incarnation.
func IDOf(incarnation string) ID { return ID(xxhash.Sum64String(incarnation)) }
