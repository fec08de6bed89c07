package term

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/witness"
)

// TestInstanceWithTwoAddressesIsOneWitness guards against an instance that counts twice, once by its
// address in the settings of others and once by the one that it announces: a claim then needed the
// consent of all.
func TestInstanceWithTwoAddressesIsOneWitness(t *testing.T) {
	te := newTenure(0)
	var answered []Witness
	for n := 1; n <= 2; n++ {
		w := testWitness(n)
		answered = append(answered, w, Witness{Addr: "alias-" + w.Addr, ID: w.ID})
	}
	te.checked(time.Second, answered)
	ids := make(map[witness.ID]bool)
	for _, w := range te.named() {
		ids[w.ID] = true
	}
	if n := len(te.named()); n != len(ids) {
		t.Errorf("%d witnesses, %d instances: a claim needs the consent of %d of these", n, len(ids), witness.Consents(n))
	}
}
