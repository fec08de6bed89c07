package inbound

import (
	"io"

	"coltsfootmux/internal/core/admission"
)

// body is the body of a request, which is worked on once the body was read.
type body struct {
	io.ReadCloser
	conn *conn
	// rest is the number of bytes that are missing, below 0 if it is not known.
	rest int64
	read bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	known := b.rest >= 0
	if known {
		b.rest -= int64(n)
	}
	if !b.read && (err == io.EOF || known && b.rest <= 0) {
		b.read = true
		b.conn.step(admission.Working)
	}
	return n, err
}
