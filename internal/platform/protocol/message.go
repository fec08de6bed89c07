package protocol

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Empty is the body of a request or answer that says nothing more.
type Empty struct{}

// HoldRequest carries several holds.
type HoldRequest struct {
	Holds []platform.Hold `json:"holds"`
}

// HoldAnswer carries the answers in the order asked.
type HoldAnswer struct {
	Held []platform.Held `json:"held"`
}

// WaitRequest asks for a lease's ending, waiting up to Poll for it.
type WaitRequest struct {
	Lease model.LeaseID `json:"lease"`
	Poll  time.Duration `json:"poll"`
}

// WaitAnswer has no Ending when the task had not ended when Poll passed.
type WaitAnswer struct {
	Ending *platform.Ending `json:"ending,omitempty"`
}

// ListRequest asks for what a worker knows of a scope.
type ListRequest struct {
	Scope model.Scope `json:"scope"`
}

// AppendRequest adds records to a stream.
type AppendRequest struct {
	Stream  platform.Stream   `json:"stream"`
	Records []platform.Record `json:"records"`
}

// AppendAnswer gives the offset of the first record.
type AppendAnswer struct {
	Offset model.Offset `json:"offset"`
}

// ReadRequest asks for entries from an offset on.
type ReadRequest struct {
	Stream platform.Stream `json:"stream"`
	From   model.Offset    `json:"from"`
	Max    int             `json:"max"`
	Wait   time.Duration   `json:"wait"`
}

// ReadAnswer carries the entries in order; none when Wait passed.
type ReadAnswer struct {
	Entries []platform.Entry `json:"entries"`
}

// BoundsRequest asks for a stream's range of offsets.
type BoundsRequest struct {
	Stream platform.Stream `json:"stream"`
}

// HostsAnswer carries the host list.
type HostsAnswer struct {
	Hosts []model.Host `json:"hosts"`
}
