package entry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/model"
)

// sum is the xxhash64 of what must be the same when a key is used again.
func sum(w *model.Work) uint64 {
	d := xxhash.New()
	text := func(s string) {
		number(d, len(s))
		_, _ = d.WriteString(s)
	}
	text(string(w.Account))
	text(string(w.Kind))
	text(string(w.Adjacency))
	number(d, w.Members)
	number(d, w.Shape.Slots)
	number(d, w.Shape.Accelerators)
	number(d, w.Shape.CPUMilli)
	number(d, w.Shape.MemoryMB)
	idempotent := 0
	if w.Idempotent {
		idempotent = 1
	}
	number(d, idempotent)
	number(d, len(w.Body))
	_, _ = d.Write(w.Body)
	return d.Sum64()
}

func number(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}
