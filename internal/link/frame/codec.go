package frame

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ErrMalformed means that the bytes are not a valid frame.
var ErrMalformed = eris.New("malformed frame")

const (
	// maxElements and maxNesting bound the CBOR structures that Decode accepts.
	maxElements = 16
	maxNesting  = 4
)

var (
	enc = mustEnc()
	dec = mustDec()
)

func mustEnc() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode appends the encoded frame to buf.
func Encode(buf *bytes.Buffer, f *Frame) error {
	if err := enc.MarshalToBuffer(f, buf); err != nil {
		return eris.Wrap(err, "encode frame")
	}
	return nil
}

// Decode decodes one frame. Its errors wrap ErrMalformed.
func Decode(b []byte) (Frame, error) {
	var f Frame
	if len(b) > MaxBytes {
		return f, eris.Wrapf(ErrMalformed, "%d bytes", len(b))
	}
	if err := dec.Unmarshal(b, &f); err != nil {
		return Frame{}, eris.Wrap(ErrMalformed, err.Error())
	}
	if err := check(&f); err != nil {
		return Frame{}, err
	}
	return f, nil
}

// check rejects frames whose fields are invalid or contradict each other.
func check(f *Frame) error {
	n := uint64(len(f.Payload))
	switch {
	case f.Type < Request || f.Type > GoAway:
		return eris.Wrapf(ErrMalformed, "type %d", f.Type)
	case f.Timeout < 0:
		return eris.Wrap(ErrMalformed, "negative timeout")
	case n > ChunkBytes:
		return eris.Wrap(ErrMalformed, "payload exceeds the chunk size")
	case f.Type == Heartbeat || f.Type == Cancel || f.Type == GoAway:
		return nil
	case f.Offset > f.Total || n > f.Total-f.Offset:
		return eris.Wrap(ErrMalformed, "payload extends past the end of its message")
	case n == 0 && f.Total > 0:
		return eris.Wrap(ErrMalformed, "chunk without payload")
	}
	return nil
}
