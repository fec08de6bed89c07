package frame_test

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"testing"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// addSeeds adds encodings of frames of each type, and malformed ones, to the corpus.
func addSeeds(f *testing.F) {
	body := []byte("body")
	for _, fr := range []frame.Frame{
		{Type: frame.Request, Call: 1, Attempt: 2, Kind: wire.KindSubmit, Total: 4, Payload: body, Timeout: 5},
		{Type: frame.Response, Call: math.MaxUint64, Offset: 4, Total: 8, Sum: 9, Payload: body},
		{Type: frame.HandlerError, Call: 3, Total: 4, Payload: body},
		{Type: frame.Refuse, Call: 4, Offset: 1, Total: 1},
		{Type: frame.Cancel, Call: 5},
		{Type: frame.Heartbeat, Call: 6, Offset: 5},
		{Type: frame.GoAway, Call: 7},
	} {
		var buf bytes.Buffer
		if err := frame.Encode(&buf, &fr); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
		f.Add(buf.Bytes()[:buf.Len()/2])
	}
	f.Add([]byte{})
	f.Add([]byte{0x9f, 0x01, 0xff})
	f.Add(bytes.Repeat([]byte{0x81}, 1000))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
}

func FuzzDecode(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := frame.Decode(b)
		if err != nil {
			if !errors.Is(err, frame.ErrMalformed) {
				t.Fatalf("error does not wrap ErrMalformed: %v", err)
			}
			return
		}
		if len(got.Payload) > frame.ChunkBytes || got.Timeout < 0 {
			t.Fatalf("accepted %+v", got)
		}
		var buf bytes.Buffer
		if err := frame.Encode(&buf, &got); err != nil {
			t.Fatal(err)
		}
		again, err := frame.Decode(buf.Bytes())
		if err != nil || !equalFrames(got, again) {
			t.Fatalf("%+v became %+v: %v", got, again, err)
		}
	})
}

// equalFrames compares frames, treating an absent payload as an empty one.
func equalFrames(a, b frame.Frame) bool {
	if len(a.Payload) == 0 && len(b.Payload) == 0 {
		a.Payload, b.Payload = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

func TestLargestFrameFitsItsBound(t *testing.T) {
	var buf bytes.Buffer
	f := frame.Frame{
		Type: frame.Response, Call: math.MaxUint64, Attempt: math.MaxUint32, Kind: math.MaxUint8,
		Offset: math.MaxUint64 - frame.ChunkBytes, Total: math.MaxUint64, Sum: math.MaxUint64,
		Timeout: math.MaxInt64, Payload: make([]byte, frame.ChunkBytes),
	}
	if err := frame.Encode(&buf, &f); err != nil {
		t.Fatal(err)
	}
	if buf.Len() > frame.MaxBytes {
		t.Fatalf("%d bytes, bound %d", buf.Len(), frame.MaxBytes)
	}
	if got, err := frame.Decode(buf.Bytes()); err != nil || !equalFrames(got, f) {
		t.Fatalf("got %v", err)
	}
}

func TestChecksumDependsOnTypeCallAndAttempt(t *testing.T) {
	body := []byte("same")
	sums := map[uint64]bool{
		frame.Checksum(frame.Response, 1, 1, body):            true,
		frame.Checksum(frame.Response, 2, 1, body):            true,
		frame.Checksum(frame.Response, 1, 2, body):            true,
		frame.Checksum(frame.HandlerError, 1, 1, body):        true,
		frame.Checksum(frame.Response, 1, 1, []byte("same ")): true,
	}
	if len(sums) != 5 {
		t.Fatalf("%d different checksums, want 5", len(sums))
	}
}
