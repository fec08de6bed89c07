package instance

import (
	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/wire"
)

const (
	// maxEarlierPolicies is how many superseded records are kept for peers that are
	// still copying them. Without them, a peer would begin again with each new version
	// and finish none while versions follow each other quickly.
	maxEarlierPolicies = 4
	// policyPartBytes is the size of the parts in which peers copy a record. A link of
	// 10 Mbit/s carries one in 50 ms.
	policyPartBytes = 64 << 10
)

// policyRecord is the record of one version of the policy.
type policyRecord struct {
	version int64
	bytes   []byte
}

// currentPolicy is a policy with the record that it was decoded from. It does not change.
type currentPolicy struct {
	policy *job.Policy
	record []byte
	// sum is the xxhash64 of record.
	sum uint64
	// earlier are the last records before it, oldest first.
	earlier []policyRecord
}

// newCurrentPolicy returns the policy that follows old, which may be nil.
func newCurrentPolicy(p *job.Policy, record []byte, old *currentPolicy) *currentPolicy {
	n := &currentPolicy{policy: p, record: record, sum: xxhash.Sum64(record)}
	if old != nil {
		n.earlier = append(n.earlier, old.earlier...)
		n.earlier = append(n.earlier, policyRecord{version: old.policy.Version, bytes: old.record})
		n.earlier = n.earlier[max(len(n.earlier)-maxEarlierPolicies, 0):]
	}
	return n
}

// part returns a part of a version's record, or nil if there is none.
func (c *currentPolicy) part(q wire.PolicyPartQuery) []byte {
	record := c.record
	if q.Version != c.policy.Version {
		record = nil
		for _, e := range c.earlier {
			if e.version == q.Version {
				record = e.bytes
			}
		}
	}
	if q.Offset < 0 || q.Offset >= len(record) {
		return nil
	}
	return record[q.Offset:min(q.Offset+policyPartBytes, len(record))]
}
