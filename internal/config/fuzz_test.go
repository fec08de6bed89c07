package config

import "testing"

// FuzzParse checks that any text either is refused or gives a valid document
// that is unchanged after encoding and parsing.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{sample, "", "fleet: [", "fleet: {cells: [{workers: [{}]}]}", "a: &x [*x, *x]", "? {a: b}\n: c", "fleet:\n  cells:\n  - null", "exceptions: [{expires: 1}]", "\x00", "accounts: [{share: .nan}]", "accounts: [{share: .inf}]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse(text)
		if err != nil {
			return
		}
		if err := Validate(doc); err != nil {
			t.Fatalf("accepted an invalid document: %v", err)
		}
		b, err := Encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Parse(b)
		if err != nil {
			t.Fatalf("%v\n%s", err, b)
		}
		if d := Diff(doc, back); len(d) != 0 {
			t.Fatalf("changed by the round trip: %v", d)
		}
	})
}
