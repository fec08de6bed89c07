package instance

import (
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/core/capacity"
)

// TestStrongPeersAreKnownInAWeakFleet guards against an owner on an island that tells nobody that it gives
// up its term, as no machine of its fleet had the processor share of a strong one.
func TestStrongPeersAreKnownInAWeakFleet(t *testing.T) {
	i := &Instance{}
	i.members.lastFailure = make(map[string]time.Duration)
	records := []memberRecord{
		{Addr: "weak:1", ClaimDelay: 964 * time.Millisecond, Machine: capacity.Machine{Cores: 0.0144, LinkMbps: 10, MemoryMB: 144}},
		{Addr: "strong:1", ClaimDelay: 800 * time.Millisecond, Machine: capacity.Machine{Cores: 0.08, LinkMbps: 200, MemoryMB: 536}},
		{Addr: "earlier:1", ClaimDelay: 800 * time.Millisecond},
	}
	i.members.set(records, nil, "own:1")
	if got := i.members.strong(boottime(), maxHandoverPeers); !slices.Equal(got, []string{"strong:1"}) {
		t.Errorf("strong peers %v", got)
	}
}

// Versions without machines are read, and read records with them.
func TestMachinesOfMembersAreAnAdditionalField(t *testing.T) {
	leftOut(t, memberRecord{Addr: "10.0.0.9:7", Machine: capacity.Machine{Cores: 0.5}}, &struct {
		Addr string `cbor:"1,keyasint"`
	}{})
	b, err := encodeRecord(memberRecord{Addr: "10.0.0.9:7", Machine: capacity.Machine{Cores: 0.5}})
	var got memberRecord
	if err == nil {
		err = decodeRecord(b, &got)
	}
	if err != nil || got.Machine.Cores != 0.5 {
		t.Errorf("read as %+v, %v", got, err)
	}
}
