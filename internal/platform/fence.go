package platform

import (
	"time"

	"coltsfootmux/internal/model"
)

// Fence asks a worker to refuse every lower epoch for a scope.
type Fence struct {
	Scope model.Scope `json:"scope"`
	Epoch model.Epoch `json:"epoch"`
}

// Fenced is a worker's answer to a fence.
type Fenced struct {
	// Incarnation changes with each restart of the worker, which forgets all.
	Incarnation string `json:"incarnation"`
	// Since is how long ago this incarnation began: its history reaches no further.
	Since time.Duration `json:"since"`
	// Previous is the epoch seen before, 0 for none.
	Previous model.Epoch `json:"previous"`
}
