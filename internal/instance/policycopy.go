package instance

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// errPolicyCopy means that a peer does not have, or no longer has, the record that it
// offered.
var errPolicyCopy = eris.New("policy record not copied")

// maxPolicyBytes bounds the size of a record that is copied from a peer.
const maxPolicyBytes = 8 << 20

// policyCopy copies policy records from peers in parts. What has been copied is kept, so
// that after a failure another peer with the same record can go on with it.
type policyCopy struct {
	inst    *Instance
	version int64
	offer   wire.PolicyOffer
	data    []byte
}

// fetch copies the record of a version that the peer at addr offers.
func (c *policyCopy) fetch(ctx context.Context, addr string, version int64, offer wire.PolicyOffer) ([]byte, error) {
	if offer.Size <= 0 || offer.Size > maxPolicyBytes {
		return nil, eris.Wrapf(errPolicyCopy, "size %d", offer.Size)
	}
	if c.version != version || c.offer.Size != offer.Size || c.offer.Sum != offer.Sum {
		c.version, c.offer, c.data = version, offer, make([]byte, 0, offer.Size)
	}
	for len(c.data) < c.offer.Size {
		if err := c.fetchPart(ctx, addr); err != nil {
			return nil, err
		}
	}
	record := c.data
	c.data = nil
	if xxhash.Sum64(record) != c.offer.Sum {
		c.version = 0
		return nil, eris.Wrap(errPolicyCopy, "wrong checksum")
	}
	return record, nil
}

func (c *policyCopy) fetchPart(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q := wire.PolicyPartQuery{Version: c.version, Offset: len(c.data)}
	r, err := link.Call[wire.PolicyPartQuery, wire.PolicyPartReply](ctx, c.inst.pool, addr, wire.KindPolicyPart, q)
	if err != nil {
		c.inst.members.recordAnswer(addr, false)
		return err
	}
	if len(r.Data) == 0 || len(r.Data) > c.offer.Size-len(c.data) {
		return eris.Wrapf(errPolicyCopy, "part of %d bytes at %d of %d", len(r.Data), len(c.data), c.offer.Size)
	}
	c.data = append(c.data, r.Data...)
	return nil
}

func (i *Instance) onPolicyPartQuery(_ context.Context, _ link.Peer, q wire.PolicyPartQuery) (wire.PolicyPartReply, error) {
	p := i.policy.Load()
	if p == nil {
		return wire.PolicyPartReply{}, nil
	}
	return wire.PolicyPartReply{Data: p.part(q)}, nil
}
