package witness

import "testing"

// TestLossOfOneDataCentreLeavesEnoughWitnessesForAClaim guards against witnesses that are all in the
// data centre of the only strong machines: with it, its owner and all witnesses are lost, and the next
// claim waits for the limit of keeping a term.
func TestLossOfOneDataCentreLeavesEnoughWitnessesForAClaim(t *testing.T) {
	ranked := Rank("a", []Candidate{
		{"a1", "a", true},
		{"a2", "a", true},
		{"a3", "a", true},
		{"a4", "a", true},
		{"a5", "a", true},
		{"b1", "b", false},
		{"b2", "b", false},
		{"c1", "c", false},
	})
	left := 0
	for _, c := range ranked[:MaxWitnesses] {
		if c.DataCentre != "a" {
			left++
		}
	}
	if left < Consents(MaxWitnesses) {
		t.Errorf("%d witnesses are outside the owner's data centre, a claim needs %d", left, Consents(MaxWitnesses))
	}
}
