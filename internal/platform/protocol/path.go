package protocol

// The paths of a worker's task interface.
const (
	PathFence   = "/v1/fence"
	PathHold    = "/v1/hold"
	PathGrant   = "/v1/grant"
	PathStart   = "/v1/start"
	PathWait    = "/v1/wait"
	PathRenew   = "/v1/renew"
	PathRelease = "/v1/release"
	PathControl = "/v1/control"
	PathList    = "/v1/list"
)

// The paths of the log service.
const (
	PathAppend = "/v1/append"
	PathRead   = "/v1/read"
	PathBounds = "/v1/bounds"
)

// PathHosts is the path of the host list.
const PathHosts = "/v1/hosts"
