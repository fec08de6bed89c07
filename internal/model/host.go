package model

// HostState is what the host list says of a host.
type HostState string

// The states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole tells the system's own hosts from workers.
type HostRole string

// The roles.
const (
	RoleEntry     HostRole = "entry"
	RoleScheduler HostRole = "scheduler"
	RoleAdmin     HostRole = "admin"
	RoleWorker    HostRole = "worker"
)

// Host is one line of the platform's host list. The list lags, so a line proves
// neither that a host lives nor that it is gone.
type Host struct {
	ID         HostID     `json:"id" cbor:"1,keyasint"`
	Role       HostRole   `json:"role" cbor:"2,keyasint"`
	Addr       string     `json:"addr" cbor:"3,keyasint"`
	DataCentre DataCentre `json:"data_centre" cbor:"4,keyasint"`
	Region     Region     `json:"region" cbor:"5,keyasint"`
	State      HostState  `json:"state" cbor:"6,keyasint"`
}
