package platform

import (
	"time"

	"coltsfootmux/internal/model"
)

// Listing is what a worker knows of a scope.
type Listing struct {
	Incarnation string        `json:"incarnation"`
	Since       time.Duration `json:"since"`
	Leases      []Leased      `json:"leases"`
	Ended       []Ending      `json:"ended"`
	// EndedSince is how far back Ended reaches.
	EndedSince time.Duration `json:"ended_since"`
}

// Leased is one lease in a listing.
type Leased struct {
	Lease   model.LeaseID `json:"lease"`
	Cell    model.CellID  `json:"cell"`
	Shape   model.Shape   `json:"shape"`
	Label   Label         `json:"label"`
	Started bool          `json:"started"`
	Age     time.Duration `json:"age"`
}
