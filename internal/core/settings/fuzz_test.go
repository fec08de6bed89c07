package settings

import "testing"

// FuzzDecode checks that no bytes break the decoders, and that what they take
// can be applied or is refused.
func FuzzDecode(f *testing.F) {
	rec := record("a", 1, exception("e", "x"), Op{RemoveCell: "c"})
	b, err := EncodeRecord(&rec)
	if err != nil {
		f.Fatal(err)
	}
	snap := &Snapshot{Version: 3, Through: 9, Document: document(), Recent: []string{"a"}}
	s, err := EncodeSnapshot(snap)
	if err != nil {
		f.Fatal(err)
	}
	u, err := EncodeUpdate(&Update{Records: []Accepted{{Version: 2, Offset: 2, Record: rec}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{b, s, u, nil, {0xff}, {0xa1, 0x06, 0xa1, 0x02, 0x81, 0xa0}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		core := New(Options{})
		if r, err := DecodeRecord(b); err == nil {
			if doc, err := Apply(document(), r.Change); err == nil && doc == nil {
				t.Fatal("applied to nothing")
			}
		}
		if s, err := DecodeSnapshot(b); err == nil {
			core.Step(start, Offered{&Update{Snapshot: s}})
		}
		if u, err := DecodeUpdate(b); err == nil {
			core.Step(start, Offered{u})
		}
	})
}
