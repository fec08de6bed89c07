package entry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/model"
)

// checksumOf returns the xxhash64 of the fields that must be the same when a key is
// used again.
func checksumOf(w *model.Work) uint64 {
	d := xxhash.New()
	writeString := func(s string) {
		writeInt(d, len(s))
		_, _ = d.WriteString(s)
	}
	writeString(string(w.Account))
	writeString(string(w.Kind))
	writeString(string(w.Adjacency))
	writeInt(d, w.Members)
	writeInt(d, w.Shape.Slots)
	writeInt(d, w.Shape.Accelerators)
	writeInt(d, w.Shape.CPUMilli)
	writeInt(d, w.Shape.MemoryMB)
	idempotent := 0
	if w.Idempotent {
		idempotent = 1
	}
	writeInt(d, idempotent)
	writeInt(d, len(w.Body))
	_, _ = d.Write(w.Body)
	return d.Sum64()
}

func writeInt(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}
