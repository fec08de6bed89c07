package instance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// relayBound is the time in which a version must be in force everywhere.
const relayBound = 4 * time.Second

// newRegion returns a rig with instances of one region that ask relays.
func newRegion(t *testing.T) *rig {
	// Three of the instances are relays, and the owner reads from the store too.
	const instances, readers = 12, 4
	r := newRig(t, 0)
	r.region = "far"
	for n := range instances {
		r.addInstance(n).conn.longReads.Store(true)
	}
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("relays in use", func() bool { return r.readers() <= readers })
	return r
}

// relays returns the instances that read the policy from the store.
func (r *rig) relays() []*node {
	var out []*node
	for _, n := range r.nodes {
		if n.inst.policyFromStore.Load() {
			out = append(out, n)
		}
	}
	return out
}

// waitForVersion waits until a version is in force on all of nodes, and checks the bound.
func (r *rig) waitForVersion(version int64, nodes []*node) {
	r.t.Helper()
	put := time.Now()
	r.store.Put(testPolicies, "policy", fmt.Appendf(nil, "%d", version))
	for _, n := range nodes {
		r.waitFor("the version in force", func() bool { return n.inst.policyInForce() >= version })
	}
	if took := time.Since(put); took > relayBound {
		r.t.Errorf("version %d is in force after %v", version, took)
	}
}

func TestPolicyArrivesThoughTheStoreRefusesTheRelays(t *testing.T) {
	r := newRegion(t)
	r.waitForVersion(2, r.nodes)
	for _, n := range r.relays() {
		close(n.conn.refused)
	}
	r.waitForVersion(3, r.nodes)
	r.waitForVersion(4, r.nodes)
}

func TestPolicyArrivesThoughTheRelaysAreLost(t *testing.T) {
	r := newRegion(t)
	lost := make(map[*node]bool)
	for _, n := range r.relays() {
		n.kill()
		lost[n] = true
	}
	var rest []*node
	for _, n := range r.nodes {
		if !lost[n] {
			rest = append(rest, n)
		}
	}
	r.waitForVersion(2, rest)
	r.waitForVersion(3, rest)
}

func TestDrainArrivesOverARelay(t *testing.T) {
	r := newRegion(t)
	r.store.Put(testPolicies, testDrainPrefix+"d0", []byte("1"))
	for _, n := range r.nodes {
		r.waitFor("the drain", func() bool { return len(n.inst.drainedDataCentres()) == 1 })
	}
}

// A peer that copied a record began again with each new version, and finished none.
func TestSupersededRecordCanStillBeCopied(t *testing.T) {
	record := bytes.Repeat([]byte("x"), 3*policyPartBytes+1)
	old := newCurrentPolicy(&job.Policy{Version: 1}, record, nil)
	now := old
	for v := int64(2); v <= 1+maxEarlierPolicies; v++ {
		now = newCurrentPolicy(&job.Policy{Version: v}, []byte("new"), now)
	}
	var got []byte
	for {
		part := now.part(wire.PolicyPartQuery{Version: 1, Offset: len(got)})
		if len(part) == 0 {
			break
		}
		got = append(got, part...)
	}
	if !bytes.Equal(got, record) {
		t.Errorf("%d of %d bytes", len(got), len(record))
	}
	now = newCurrentPolicy(&job.Policy{Version: 9}, []byte("newest"), now)
	if part := now.part(wire.PolicyPartQuery{Version: 1}); part != nil {
		t.Errorf("%d bytes of a version that is too old", len(part))
	}
}

// partServer serves the parts of one record, up to a limit of bytes.
func partServer(t *testing.T, r *rig, record []byte, limit int) *node {
	n := r.addInstance(len(r.nodes))
	n.inst.policy.Store(newCurrentPolicy(&job.Policy{Version: 5}, record[:limit], nil))
	return n
}

func TestCopyGoesOnWithAnotherPeer(t *testing.T) {
	r := newRig(t, 1)
	r.store.Put(testPolicies, "policy", []byte("0"))
	record := bytes.Repeat([]byte("abc"), policyPartBytes)
	offer := *newOffer(record)
	first, second := partServer(t, r, record, policyPartBytes), partServer(t, r, record, len(record))
	c := &policyCopy{inst: r.nodes[0].inst}
	if _, err := c.fetch(t.Context(), first.inst.Settings.LinkAddr, 5, offer); !errors.Is(err, errPolicyCopy) {
		t.Fatalf("a peer without the rest: %v", err)
	}
	if len(c.data) != policyPartBytes {
		t.Fatalf("%d bytes kept", len(c.data))
	}
	got, err := c.fetch(t.Context(), second.inst.Settings.LinkAddr, 5, offer)
	if err != nil || !bytes.Equal(got, record) {
		t.Fatalf("%d of %d bytes, %v", len(got), len(record), err)
	}
	offer.Sum++
	if _, err := c.fetch(t.Context(), second.inst.Settings.LinkAddr, 5, offer); !errors.Is(err, errPolicyCopy) {
		t.Errorf("a record with another checksum: %v", err)
	}
}

func newOffer(record []byte) *wire.PolicyOffer {
	p := newCurrentPolicy(&job.Policy{}, record, nil)
	return &wire.PolicyOffer{Size: len(record), Sum: p.sum}
}

// Instances of the last landing know no parts: they answer with the record, and expect it.
func TestPolicyPassesBetweenThisVersionAndTheLast(t *testing.T) {
	r := newRig(t, 1)
	n := r.nodes[0]
	r.waitFor("a policy", n.inst.Ready)
	pool := link.NewPool(link.PoolOptions{Self: model.HostID("last"), Region: "a"})
	defer func() { _ = pool.Close() }()
	type lastQuery struct {
		Version int64 `cbor:"1,keyasint"`
	}
	type lastReply struct {
		Version int64  `cbor:"1,keyasint"`
		Record  []byte `cbor:"2,keyasint,omitempty"`
	}
	rep, err := link.Call[lastQuery, lastReply](t.Context(), pool, n.inst.Settings.LinkAddr, wire.KindPolicy, lastQuery{})
	if err != nil || rep.Version != 1 || string(rep.Record) != "1" {
		t.Errorf("asked by the last version: %+v, %v", rep, err)
	}

	server := link.NewServer(link.ServerOptions{Self: "last", Region: "a"})
	link.Handle(server, wire.KindPolicy, func(context.Context, link.Peer, lastQuery) (lastReply, error) {
		return lastReply{Version: 7, Record: []byte("7")}, nil
	})
	mux := http.NewServeMux()
	mux.Handle(link.Path, server)
	last := httptest.NewServer(mux)
	defer last.Close()
	if _, err := n.inst.askPolicy(t.Context(), strings.TrimPrefix(last.URL, "http://"), wire.PolicyQuery{Parts: true}); err != nil || n.inst.policyInForce() != 7 {
		t.Errorf("version %d in force after an answer of the last version, %v", n.inst.policyInForce(), err)
	}
}
