package job

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// A record that the previous version can't read would lose a job in a rollback.
func TestImageIsReadableByThePreviousVersion(t *testing.T) {
	type previousStep struct {
		Count int `cbor:"1,keyasint"`
		GPU   int `cbor:"4,keyasint,omitempty"`
	}
	for _, image := range []string{"", "db:7"} {
		b, err := cbor.Marshal(Step{Count: 3, GPU: 2, Image: image})
		if err != nil {
			t.Fatal(err)
		}
		var previous previousStep
		var again Step
		if err := cbor.Unmarshal(b, &previous); err != nil || previous != (previousStep{Count: 3, GPU: 2}) {
			t.Errorf("previous version reads %+v, %v", previous, err)
		}
		if err := cbor.Unmarshal(b, &again); err != nil || again.Image != image {
			t.Errorf("image %q, %v, want %q", again.Image, err, image)
		}
		before, err := cbor.Marshal(previousStep{Count: 3, GPU: 2})
		if err != nil || image == "" && string(before) != string(b) {
			t.Errorf("a step without an image is encoded as %x, before as %x, %v", b, before, err)
		}
	}
}
