package platform

import (
	"time"

	"coltsfootmux/internal/model"
)

// Hold asks for or renews a hold on a key group at a worker.
type Hold struct {
	Group model.GroupID `json:"group"`
	Epoch model.Epoch   `json:"epoch"`
	TTL   time.Duration `json:"ttl"`
	// Echo is the number from the worker's last answer; 0 asks for a new hold.
	// A renewal with another number is refused, as is one of a lapsed hold.
	Echo uint64 `json:"echo"`
	// Incarnation, when set, is the one that the asker fenced. Another
	// incarnation refuses, so that a message delayed over a restart has no effect.
	Incarnation string `json:"incarnation"`
}

// Held is a worker's answer to a hold.
type Held struct {
	// Refused says that the hold was not given: its epoch is old, the echo does
	// not match, or the hold it would renew has lapsed.
	Refused bool `json:"refused"`
	// Highest is the highest epoch that the worker has seen for the group.
	Highest model.Epoch `json:"highest"`
	// Echo is the number that the next renewal must carry.
	Echo        uint64 `json:"echo"`
	Incarnation string `json:"incarnation"`
}
