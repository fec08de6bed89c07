package admin

import (
	"time"

	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// ConfigBody is the configuration in force.
type ConfigBody struct {
	Version config.Version `json:"version"`
	// Document is the YAML text.
	Document string `json:"document"`
}

// TextBody carries a document to check.
type TextBody struct {
	Document string `json:"document"`
}

// DiffBody is the difference from the version in force.
type DiffBody struct {
	Base    config.Version  `json:"base"`
	Changes []config.Change `json:"changes"`
}

// PublishBody asks for a whole document on top of a version.
type PublishBody struct {
	Base     config.Version `json:"base"`
	Reason   string         `json:"reason"`
	Document string         `json:"document"`
	// Force puts the document into force over whatever hosts have, also when the
	// log has lost the configuration.
	Force bool `json:"force"`
	// WaitSeconds is how long to wait until every host has it in force; 0 for not at all.
	WaitSeconds int `json:"wait_seconds"`
}

// ExceptionBody asks for an exception to be added or replaced.
type ExceptionBody struct {
	Exception config.Exception `json:"exception"`
	// Base is the version to build on; 0 for whichever is in force.
	Base        config.Version `json:"base"`
	WaitSeconds int            `json:"wait_seconds"`
}

// DrainBody asks for a worker, cell or data centre to be drained or not.
type DrainBody struct {
	Worker      model.WorkerID   `json:"worker"`
	Cell        model.CellID     `json:"cell"`
	DataCentre  model.DataCentre `json:"data_centre"`
	Reason      string           `json:"reason"`
	Expires     time.Time        `json:"expires,omitzero"`
	WaitSeconds int              `json:"wait_seconds"`
}

// WorkerPutBody asks for a worker to be added to a cell or replaced there.
type WorkerPutBody struct {
	Addr        string      `json:"addr"`
	Capacity    model.Shape `json:"capacity"`
	Reason      string      `json:"reason"`
	WaitSeconds int         `json:"wait_seconds"`
}

// ChangedBody answers a change.
type ChangedBody struct {
	// ID is the change's record; the audit trail names it too.
	ID string `json:"id"`
	// State is "accepted" or "pending".
	State   string          `json:"state"`
	Version config.Version  `json:"version"`
	Changes []config.Change `json:"changes,omitempty"`
	// Hosts tells who has it in force; set when the call waited.
	Hosts []HostBody `json:"hosts,omitempty"`
}

// HostBody tells which version a host has in force.
type HostBody struct {
	Host    model.HostID   `json:"host"`
	Version config.Version `json:"version"`
	// Answered is false for a host that could not be asked.
	Answered bool `json:"answered"`
}

// ExceptionsBody lists exceptions.
type ExceptionsBody struct {
	Version    config.Version     `json:"version"`
	Exceptions []config.Exception `json:"exceptions"`
}

// AccountsBody lists the accounts' standing over all cells.
type AccountsBody struct {
	Accounts []wire.AccountView `json:"accounts"`
	// Unanswered names schedulers that are missing from the sum.
	Unanswered []model.HostID `json:"unanswered"`
}

// CellsBody lists the cells.
type CellsBody struct {
	Cells      []wire.CellView `json:"cells"`
	Unanswered []model.HostID  `json:"unanswered"`
}

// WorkersBody lists the workers.
type WorkersBody struct {
	Workers    []WorkerBody   `json:"workers"`
	Unanswered []model.HostID `json:"unanswered"`
}

// WorkerBody is one worker with its cell.
type WorkerBody struct {
	wire.WorkerView
	Cell    model.CellID `json:"cell"`
	Drained bool         `json:"drained"`
}

// JobsBody lists jobs and requests, with why the waiting ones wait.
type JobsBody struct {
	Jobs       []wire.Status  `json:"jobs"`
	Unanswered []model.HostID `json:"unanswered"`
}

// CancelBody answers a cancellation.
type CancelBody struct {
	Done   bool         `json:"done"`
	Reason model.Reason `json:"reason,omitempty"`
}

// AuditBody lists entries, the newest first.
type AuditBody struct {
	Entries []audit.Entry `json:"entries"`
}

// InvalidBody is a problem with the faults of a document.
type InvalidBody struct {
	Title    string               `json:"title"`
	Status   int                  `json:"status"`
	Code     string               `json:"code"`
	Detail   string               `json:"detail"`
	Problems []*config.FieldError `json:"problems"`
}
