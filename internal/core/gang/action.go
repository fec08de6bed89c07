package gang

import "coltsfootmux/internal/model"

// Action is what a Coordinator or a Participant asks its shell to do.
type Action interface{ action() }

// SendCell sends a message to the owner of a cell.
type SendCell struct {
	To      model.CellID
	Message Message
}

// SendOwner sends a message to a coordinator.
type SendOwner struct {
	To      model.HostID
	Message Message
}

// Formed says that every member of the gang runs.
type Formed struct{ ID ID }

// Abandoned says that the gang is given up. Ran tells whether any member may
// have run; if not, nothing of it ever will.
type Abandoned struct {
	ID     ID
	Ran    bool
	Reason model.Reason
}

// Finished says that a formed gang is over.
type Finished struct {
	ID     ID
	Failed bool
}

// Take asks a participant's shell for leases; it answers with Taken.
type Take struct {
	ID      ID
	Members int
	Shape   model.Shape
}

// Begin asks a participant's shell to start the members on the leases taken; it
// answers with Began.
type Begin struct{ ID ID }

// Drop asks a participant's shell to release the leases and stop the members.
type Drop struct{ ID ID }

func (SendCell) action()  {}
func (SendOwner) action() {}
func (Formed) action()    {}
func (Abandoned) action() {}
func (Finished) action()  {}
func (Take) action()      {}
func (Begin) action()     {}
func (Drop) action()      {}
