package instance

import (
	"sync/atomic"
	"time"
)

// policyInForce returns the version of the policy in force, 0 if there is none.
func (i *Instance) policyInForce() int64 {
	if p := i.policy.Load(); p != nil {
		return p.policy.Version
	}
	return 0
}

// policyAge returns how long ago the store last answered a read of the policy, here or at
// the relay that was asked.
func (i *Instance) policyAge() time.Duration {
	return boottime() - time.Duration(i.policyReadAt.Load())
}

// policyContactAge returns how long ago the last part of such an answer arrived.
func (i *Instance) policyContactAge() time.Duration {
	return boottime() - time.Duration(i.policyContactAt.Load())
}

func (i *Instance) recordPolicyContact() { raise(&i.policyContactAt, boottime()) }

// raise sets a boot time to a later one.
func raise(at *atomic.Int64, to time.Duration) {
	for {
		old := at.Load()
		if int64(to) <= old || at.CompareAndSwap(old, int64(to)) {
			return
		}
	}
}
