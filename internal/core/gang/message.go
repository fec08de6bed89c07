package gang

import "coltsfootmux/internal/model"

// Message is what coordinators and participants send each other. All carry the
// round, so that late ones are told apart.
type Message interface{ message() }

// Reserve asks a cell to hold room for members of a gang.
type Reserve struct {
	ID      ID
	Members int
	Shape   model.Shape
}

// Reserved says that the room is held.
type Reserved struct{ ID ID }

// Denied says that the room can't be had, or that the hold has lapsed.
type Denied struct{ ID ID }

// Start asks a cell to start its members. Peers are all cells of the gang.
type Start struct {
	ID    ID
	Peers []model.CellID
}

// Started says that all members in the cell run.
type Started struct{ ID ID }

// Confirm says that the whole gang runs.
type Confirm struct{ ID ID }

// Confirmed acknowledges a Confirm.
type Confirmed struct{ ID ID }

// Release asks a cell to give up its part: to free the room or stop the members.
// Nothing of this round or an earlier one may start there afterwards.
type Release struct{ ID ID }

// Broken says that members in a cell failed or were stopped; the whole gang must stop.
type Broken struct{ ID ID }

// Ended says that all members in a cell came to their end.
type Ended struct{ ID ID }

// ID names one try to form a gang.
type ID struct {
	Key model.Key
	// Owner is the coordinator.
	Owner model.HostID
	// Epoch is the owner's epoch for the key's group, Round counts its tries.
	Epoch model.Epoch
	Round int
}

// newer reports whether a try came after another one of the same key.
func (a ID) newer(b ID) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Round > b.Round
}

func (Reserve) message()   {}
func (Reserved) message()  {}
func (Denied) message()    {}
func (Start) message()     {}
func (Started) message()   {}
func (Confirm) message()   {}
func (Confirmed) message() {}
func (Release) message()   {}
func (Broken) message()    {}
func (Ended) message()     {}

// idOf gives the try that a message is about.
func idOf(m Message) ID {
	switch x := m.(type) {
	case Reserve:
		return x.ID
	case Reserved:
		return x.ID
	case Denied:
		return x.ID
	case Start:
		return x.ID
	case Started:
		return x.ID
	case Confirm:
		return x.ID
	case Confirmed:
		return x.ID
	case Release:
		return x.ID
	case Broken:
		return x.ID
	case Ended:
		return x.ID
	}
	return ID{}
}
