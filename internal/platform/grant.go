package platform

import (
	"time"

	"coltsfootmux/internal/model"
)

// Grant asks for a lease on part of a worker.
type Grant struct {
	Lease model.LeaseID `json:"lease"`
	Cell  model.CellID  `json:"cell"`
	Epoch model.Epoch   `json:"epoch"`
	TTL   time.Duration `json:"ttl"`
	Shape model.Shape   `json:"shape"`
	Label Label         `json:"label"`
}
