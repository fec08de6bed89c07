package term

import (
	"testing"
	"time"
)

// TestEarlierOwnersAreAllowedForAfterAnOwnerOfAnEarlierVersion guards against a record of a version that does not
// know EarlierOwners, and that makes later owners forget one on an island.
func TestEarlierOwnersAreAllowedForAfterAnOwnerOfAnEarlierVersion(t *testing.T) {
	f := &fakeStore{records: []Record{{Term: 2, Owner: "node-1/1", Addr: "10.0.0.1:1", EarlierOwners: 18 * time.Second, StartLimit: 5 * time.Second}}}
	c := newContender(3)
	c.readAll(time.Second, f)
	f.records = append(f.records, Record{Term: 3, Owner: "node-2/1", Addr: "10.0.0.2:1"}) // by an earlier version
	c.readAll(3*time.Second, f)
	f.records = append(f.records, Record{Term: 3, Owner: "node-2/1", Addr: "10.0.0.2:1", Renewal: 1, Released: true})
	c.readAll(4*time.Second, f)
	c.step(5*time.Second, Tick{})
	if len(c.pending) == 0 {
		t.Fatal("not claimed")
	}
	if got := c.pending[0].Record.EarlierOwners; got < 14*time.Second {
		t.Errorf("allows earlier owners %v, and one may renew leases for 14 s", got)
	}
}
