package gang

import (
	"time"

	"coltsfootmux/internal/model"
)

type phase uint8

const (
	phaseReserve phase = iota
	phaseStart
	phaseFormed
	phasePause
)

// forming is a gang at its coordinator.
type forming struct {
	id         ID
	shape      model.Shape
	parts      []*part
	phase      phase
	idempotent bool
	// ran says that starts were sent in some round.
	ran bool
	// at is the part whose answer is awaited while reserving.
	at    int
	tries int
	// due is when an answer is late or a pause is over.
	due   time.Time
	until time.Time
}

type partState uint8

const (
	partIdle partState = iota
	partReserved
	partStarted
	partEnded
)

// part is a gang's share in one cell, as its coordinator knows it.
type part struct {
	cell      model.CellID
	members   int
	state     partState
	sent      time.Time
	confirmed bool
}

func (f *forming) part(cell model.CellID) *part {
	for _, p := range f.parts {
		if p.cell == cell {
			return p
		}
	}
	return nil
}
