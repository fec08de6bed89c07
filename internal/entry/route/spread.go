package route

import (
	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/model"
)

// spread orders hosts that are as near as each other, for one entry host.
func spread(self, other model.HostID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(other))
}
