package platform

import (
	"time"

	"coltsfootmux/internal/model"
)

// Renew extends every lease that a cell's owner has on one worker.
type Renew struct {
	Cell  model.CellID  `json:"cell"`
	Epoch model.Epoch   `json:"epoch"`
	TTL   time.Duration `json:"ttl"`
	// Ack is the highest ending number that the owner has taken in.
	Ack uint64 `json:"ack"`
}

// Report is a worker's answer to a renewal.
type Report struct {
	Incarnation string `json:"incarnation"`
	// Leases lists the ids still held.
	Leases []model.LeaseID `json:"leases"`
	// Ended lists the endings after Ack, and Last is the number of the newest.
	Ended []Ending `json:"ended"`
	Last  uint64   `json:"last"`
	// Usage is what tasks use, as of Lag ago.
	Usage []Usage       `json:"usage"`
	Lag   time.Duration `json:"lag"`
	// Leaving says that the worker will go away.
	Leaving bool `json:"leaving"`
}

// Usage is what one task was seen to use.
type Usage struct {
	Lease model.LeaseID `json:"lease"`
	Used  model.Shape   `json:"used"`
}
