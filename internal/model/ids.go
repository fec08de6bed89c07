package model

// HostID names one of the system's own hosts.
type HostID string

// WorkerID names a worker, unique in the fleet.
type WorkerID string

// CellID names a cell: a rack of workers with one owner at a time.
type CellID string

// GroupID numbers a key group, a fixed share of the request key space.
type GroupID uint32

// DataCentre names a data centre.
type DataCentre string

// Region names a region, which holds one or more data centres.
type Region string

// Account names a client account.
type Account string

// Key is a caller's idempotency key; it is also the id of the request or job.
type Key string

// LeaseID names a lease on a worker. The asker chooses it.
type LeaseID string

// Kind is the caller's own name for a class of work, such as "reservation".
type Kind string
