package instance

import (
	"errors"
	"testing"
	"time"
)

// A restarted process accepted calls with a revoked key: the store refused just this
// machine, and the first policy that it found was an old one.
func TestRevokedKeyIsRejectedAfterARestart(t *testing.T) {
	for name, refuse := range map[string]bool{"the store serves it": false, "the store refuses it": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3)
			r.waitFor("an owner", func() bool { return r.owner() != nil })
			r.waitFor("the key in use", func() bool { return r.nodes[2].authorize("key-a") == nil })
			r.store.Put(testPolicies, "policy", []byte("100"))
			for _, n := range r.nodes {
				r.waitFor("revoked", func() bool { return errors.Is(n.authorize("key-a"), ErrUnknownKey) })
			}
			r.nodes[2].kill()
			r.refuseNext = refuse
			again := r.addInstance(2)
			known := false
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !known; time.Sleep(time.Millisecond) {
				err := again.authorize("key-a")
				if err == nil {
					t.Fatal("the revoked key is accepted")
				}
				known = errors.Is(err, ErrUnknownKey)
			}
			if !known {
				t.Error("no policy was found after 5 s")
			}
		})
	}
}

func (n *node) authorize(key string) error {
	_, err := n.inst.Authorize(Request{Host: "h", Path: "/q/x", Key: key})
	return err
}
