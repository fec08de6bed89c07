package settings

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxDecodedBytes bounds what a compressed snapshot may grow to.
const maxDecodedBytes = 16 << 20

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode())
	decMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// EncodeRecord gives a change's bytes on the log. The error wraps ErrEncode.
func EncodeRecord(r *Record) ([]byte, error) { return encode(r) }

// DecodeRecord reads what EncodeRecord wrote. The error wraps ErrDecode.
func DecodeRecord(b []byte) (*Record, error) {
	var r Record
	if err := decode(b, &r); err != nil {
		return nil, err
	}
	return &r, nil
}

// EncodeSnapshot gives a snapshot's bytes on the log. The error wraps ErrEncode.
func EncodeSnapshot(s *Snapshot) ([]byte, error) { return encodeDeflated(s) }

// DecodeSnapshot reads what EncodeSnapshot wrote. The error wraps ErrDecode.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	var s Snapshot
	if err := decodeDeflated(b, &s); err != nil {
		return nil, err
	}
	if s.Document == nil || s.Version == 0 {
		return nil, eris.Wrap(ErrDecode, "snapshot without a document or version")
	}
	return &s, nil
}

// EncodeUpdate gives an update's bytes on a link. The error wraps ErrEncode.
func EncodeUpdate(u *Update) ([]byte, error) { return encodeDeflated(u) }

// DecodeUpdate reads what EncodeUpdate wrote. The error wraps ErrDecode.
func DecodeUpdate(b []byte) (*Update, error) {
	var u Update
	if err := decodeDeflated(b, &u); err != nil {
		return nil, err
	}
	if s := u.Snapshot; s != nil && (s.Document == nil || s.Version == 0) {
		return nil, eris.Wrap(ErrDecode, "snapshot without a document or version")
	}
	return &u, nil
}

func encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(ErrEncode, err.Error())
	}
	return b, nil
}

func decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return eris.Wrap(ErrDecode, err.Error())
	}
	return nil
}

func encodeDeflated(v any) ([]byte, error) {
	raw, err := encode(v)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(ErrEncode, err.Error())
	}
	if _, err := w.Write(raw); err != nil {
		return nil, eris.Wrap(ErrEncode, err.Error())
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(ErrEncode, err.Error())
	}
	return buf.Bytes(), nil
}

func decodeDeflated(b []byte, v any) error {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxDecodedBytes+1)
	raw, err := io.ReadAll(r)
	if err != nil {
		return eris.Wrap(ErrDecode, err.Error())
	}
	if len(raw) > maxDecodedBytes {
		return eris.Wrapf(ErrDecode, "longer than %d bytes", maxDecodedBytes)
	}
	return decode(raw, v)
}
