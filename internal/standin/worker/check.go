package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
)

func refuse(why string) error { return eris.Wrap(platform.ErrRefused, why) }

func checkGrant(g platform.Grant) error {
	switch {
	case !validID(string(g.Lease)) || !validID(string(g.Cell)):
		return refuse("ids of lease and cell must have 1 to 256 bytes")
	case len(g.Label.Key) > protocol.MaxID || len(g.Label.Account) > protocol.MaxID || len(g.Label.Kind) > protocol.MaxID:
		return refuse("label field exceeds 256 bytes")
	case g.Shape.Negative():
		return refuse("negative shape")
	}
	return checkTTL(g.TTL)
}

func checkStart(s platform.Start) error {
	switch {
	case !validID(string(s.Lease)) || !validID(string(s.Cell)):
		return refuse("ids of lease and cell must have 1 to 256 bytes")
	case s.Within < 0:
		return refuse("negative time bound")
	case s.Grant == nil:
		return nil
	case s.Grant.Lease != s.Lease || s.Grant.Cell != s.Cell || s.Grant.Epoch != s.Epoch:
		return refuse("grant and start differ in lease, cell or epoch")
	}
	return checkGrant(*s.Grant)
}

func checkTTL(ttl time.Duration) error {
	if ttl <= 0 || ttl > maxTTL {
		return refuse("time to live must be above 0 and at most 30 min")
	}
	return nil
}

func checkScope(s model.Scope) error {
	if s.Kind != model.ScopeCell && s.Kind != model.ScopeGroup {
		return refuse("unknown kind of scope")
	}
	if !validID(s.Name) {
		return refuse("scope name must have 1 to 256 bytes")
	}
	return nil
}

func validID(id string) bool { return id != "" && len(id) <= protocol.MaxID }
