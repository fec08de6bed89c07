// Package testseed fixes the seed of property tests, so that every run gives the
// same result. Test files import it for its side effect.
package testseed

import (
	"flag"

	"pgregory.net/rapid"
)

func init() {
	// Importing rapid registers its flags.
	_ = rapid.MakeCheck
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = flag.Set("rapid.seed", "20261203")
	}
	if f := flag.Lookup("rapid.nofailfile"); f != nil {
		_ = flag.Set("rapid.nofailfile", "true")
	}
}
