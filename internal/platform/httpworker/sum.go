package httpworker

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/platform"
)

func checkSum(e platform.Ending) error {
	if xxhash.Sum64(e.Answer) != e.Sum {
		return eris.Wrapf(platform.ErrUnclear, "answer of lease %s does not match its checksum", e.Lease)
	}
	return nil
}

func checkSums(es []platform.Ending) error {
	for _, e := range es {
		if err := checkSum(e); err != nil {
			return err
		}
	}
	return nil
}
