package admin

import (
	"time"

	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// ConfigResponse is the response body with the configuration in force.
type ConfigResponse struct {
	Version config.Version `json:"version"`
	// Document is the configuration as YAML text.
	Document string `json:"document"`
}

// DocumentRequest is the request body with a YAML document to validate or compare.
type DocumentRequest struct {
	Document string `json:"document"`
}

// DiffResponse is the response body with the changes from the version in force, Base,
// to the given document.
type DiffResponse struct {
	Base    config.Version  `json:"base"`
	Changes []config.Change `json:"changes"`
}

// PublishRequest is the request body to replace the whole configuration document,
// based on version Base.
type PublishRequest struct {
	Base     config.Version `json:"base"`
	Reason   string         `json:"reason"`
	Document string         `json:"document"`
	// Force replaces the configuration whatever version the hosts have in force,
	// even if the log has lost the configuration.
	Force bool `json:"force"`
	// WaitSeconds is the longest time to wait until every host has the new version
	// in force; 0 means not to wait.
	WaitSeconds int `json:"wait_seconds"`
}

// ExceptionRequest is the request body to add or replace an exception.
type ExceptionRequest struct {
	Exception config.Exception `json:"exception"`
	// Base is the version that the change is based on; 0 means the version in force.
	Base        config.Version `json:"base"`
	WaitSeconds int            `json:"wait_seconds"`
}

// DrainRequest is the request body to drain a worker, cell or data centre, or to end
// its drain. Exactly one of Worker, Cell and DataCentre must be set.
type DrainRequest struct {
	Worker      model.WorkerID   `json:"worker"`
	Cell        model.CellID     `json:"cell"`
	DataCentre  model.DataCentre `json:"data_centre"`
	Reason      string           `json:"reason"`
	Expires     time.Time        `json:"expires,omitzero"`
	WaitSeconds int              `json:"wait_seconds"`
}

// PutWorkerRequest is the request body to add a worker to a cell or replace it there.
type PutWorkerRequest struct {
	Addr        string      `json:"addr"`
	Capacity    model.Shape `json:"capacity"`
	Reason      string      `json:"reason"`
	WaitSeconds int         `json:"wait_seconds"`
}

// ChangeResponse is the response body of a change that was accepted or is pending.
type ChangeResponse struct {
	// ID is the id of the change's record; entries of the audit trail refer to it.
	ID string `json:"id"`
	// State is "accepted" or "pending".
	State   string          `json:"state"`
	Version config.Version  `json:"version"`
	Changes []config.Change `json:"changes,omitempty"`
	// Hosts lists the version that each host has in force; set if the call waited.
	Hosts []HostVersion `json:"hosts,omitempty"`
}

// HostVersion is the configuration version that a host has in force.
type HostVersion struct {
	Host    model.HostID   `json:"host"`
	Version config.Version `json:"version"`
	// Answered is false if the host did not respond.
	Answered bool `json:"answered"`
}

// ExceptionsResponse is the response body with the exceptions of the version in force.
type ExceptionsResponse struct {
	Version    config.Version     `json:"version"`
	Exceptions []config.Exception `json:"exceptions"`
}

// AccountsResponse is the response body with the usage of each account, summed over
// all cells.
type AccountsResponse struct {
	Accounts []wire.AccountView `json:"accounts"`
	// Unanswered lists the schedulers that did not answer; their cells are missing
	// from the sums.
	Unanswered []model.HostID `json:"unanswered"`
}

// CellsResponse is the response body with the cells.
type CellsResponse struct {
	Cells      []wire.CellView `json:"cells"`
	Unanswered []model.HostID  `json:"unanswered"`
}

// WorkersResponse is the response body with the workers.
type WorkersResponse struct {
	Workers    []WorkerStatus `json:"workers"`
	Unanswered []model.HostID `json:"unanswered"`
}

// WorkerStatus is one worker, with its cell and whether it is drained.
type WorkerStatus struct {
	wire.WorkerView
	Cell    model.CellID `json:"cell"`
	Drained bool         `json:"drained"`
}

// JobsResponse is the response body with jobs and requests; those that wait carry the
// reason.
type JobsResponse struct {
	Jobs       []wire.Status  `json:"jobs"`
	Unanswered []model.HostID `json:"unanswered"`
}

// CancelResponse is the response body of a cancellation.
type CancelResponse struct {
	Done   bool         `json:"done"`
	Reason model.Reason `json:"reason,omitempty"`
}

// AuditResponse is the response body with audit entries, newest first.
type AuditResponse struct {
	Entries []audit.Entry `json:"entries"`
}

// InvalidDocumentProblem is a JSON problem that lists the errors in a document.
type InvalidDocumentProblem struct {
	Title    string               `json:"title"`
	Status   int                  `json:"status"`
	Code     string               `json:"code"`
	Detail   string               `json:"detail"`
	Problems []*config.FieldError `json:"problems"`
}
