package instance

import (
	"errors"
	"testing"
	"time"
)

// TestAWithdrawnKeyIsNotInUseAfterARestart: a process that was restarted took calls
// with a key that had been withdrawn, as the store turned just this machine away and
// the first policy that it found was an old one.
func TestAWithdrawnKeyIsNotInUseAfterARestart(t *testing.T) {
	for name, cut := range map[string]bool{"the store serves it": false, "the store turns it away": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3)
			r.wait("an owner", func() bool { return r.owner() != nil })
			r.wait("the key in use", func() bool { return r.nodes[2].check("key-a") == nil })
			r.store.Put(testPolicies, "policy", []byte("100"))
			for _, n := range r.nodes {
				r.wait("withdrawn", func() bool { return errors.Is(n.check("key-a"), ErrUnknownKey) })
			}
			r.nodes[2].kill()
			r.cutNext = cut
			again := r.add(2)
			known := false
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !known; time.Sleep(time.Millisecond) {
				err := again.check("key-a")
				if err == nil {
					t.Fatal("the withdrawn key is in use")
				}
				known = errors.Is(err, ErrUnknownKey)
			}
			if !known {
				t.Error("no policy was found after 5 s")
			}
		})
	}
}

func (n *node) check(key string) error {
	_, err := n.inst.Authorize(Request{Host: "h", Path: "/q/x", Key: key})
	return err
}
