package summary

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/model"
)

// checksum hashes one cell. The checksum of a state is the sum of its cells',
// so that it is kept up cell by cell and in any order.
func checksum(c *Cell) uint64 {
	d := xxhash.New()
	text(d, string(c.ID))
	shape(d, c.Free)
	number(d, c.Waiting)
	number(d, c.FragmentationPermille)
	for _, l := range c.Lent {
		text(d, string(l.Account))
		shape(d, l.Shape)
	}
	return d.Sum64()
}

func text(d *xxhash.Digest, s string) {
	number(d, len(s))
	_, _ = d.WriteString(s)
}

func shape(d *xxhash.Digest, s model.Shape) {
	number(d, s.Slots)
	number(d, s.Accelerators)
	number(d, s.CPUMilli)
	number(d, s.MemoryMB)
}

func number(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}
