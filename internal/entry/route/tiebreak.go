package route

import (
	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/model"
)

// tieBreak returns a hash that orders hosts at the same distance from the entry
// host self.
func tieBreak(self, other model.HostID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(other))
}
