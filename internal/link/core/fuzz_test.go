package core_test

import (
	"bytes"
	"testing"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// FuzzFrames feeds arbitrary frames to both sides: neither may panic, and a call
// must end exactly once.
func FuzzFrames(f *testing.F) {
	for _, fr := range []frame.Frame{
		{Type: frame.Request, Call: 1, Kind: wire.KindSubmit, Total: 2, Payload: []byte("ab")},
		{Type: frame.Response, Call: 1, Attempt: 1, Total: 2, Payload: []byte("ab"), Sum: frame.Checksum(frame.Response, 1, 1, []byte("ab"))},
		{Type: frame.Refuse, Call: 1, Attempt: 1},
		{Type: frame.GoAway},
		{Type: frame.Cancel, Call: 1},
	} {
		var buf bytes.Buffer
		if err := frame.Encode(&buf, &fr); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes(), buf.Bytes())
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		d, a := core.NewDialer(startTime, 1, limits(), nil), core.NewAcceptor(startTime, limits(), nil)
		ended := 0
		countEnded := func(acts []core.Action) {
			for _, act := range acts {
				switch act.(type) {
				case core.Completed, core.Failed:
					ended++
				}
			}
		}
		countEnded(d.Step(startTime, core.StartCall{Ticket: 1, Kind: wire.KindSubmit, Body: []byte("x")}))
		for range 2 {
			countEnded(d.Step(startTime, core.Writable{}))
		}
		for _, raw := range [][]byte{first, second} {
			fr, err := frame.Decode(raw)
			if err != nil {
				continue
			}
			countEnded(d.Step(startTime, core.Received{Frame: fr}))
			a.Step(startTime, core.Received{Frame: fr})
			a.Step(startTime, core.Writable{})
		}
		countEnded(d.Step(startTime, core.Down{}))
		a.Step(startTime, core.Down{})
		if ended != 1 {
			t.Fatalf("one call ended %d times", ended)
		}
	})
}
