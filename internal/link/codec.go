package link

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// errEncoding means that a message could not be encoded or decoded.
var errEncoding = eris.New("message encoding")

var (
	bodyEnc = mustBodyEnc()
	bodyDec = mustBodyDec()
)

func mustBodyEnc() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustBodyDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden,
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func encodeBody(v any) ([]byte, error) {
	b, err := bodyEnc.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(errEncoding, err.Error())
	}
	return b, nil
}

func decodeBody(b []byte, v any) error {
	if err := bodyDec.Unmarshal(b, v); err != nil {
		return eris.Wrap(errEncoding, err.Error())
	}
	return nil
}
