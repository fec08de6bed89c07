// Package overview defines the state of an instance, and of the cell that it owns,
// as shown to operators.
package overview

// Instance is the state of one process.
type Instance struct {
	Name string `json:"name"`
	// Incarnation identifies this start of the process.
	Incarnation    string `json:"life"`
	Ready          bool   `json:"ready"`
	StoreReachable bool   `json:"store_reachable"`
	PolicyVersion  int64  `json:"policy_version"`
	// PolicyAgeMS is the time since the policy was last read from the store.
	PolicyAgeMS int64 `json:"policy_age_ms"`
	// DrainedDataCentres are those in which operators allow no new runs.
	DrainedDataCentres []string `json:"drained_data_centres,omitempty"`
	// Term is the latest known term, Owner the incarnation that owns it, and
	// OwnerAddr the owner's address for links.
	Term      int64  `json:"term"`
	Owner     string `json:"owner"`
	OwnerAddr string `json:"owner_addr"`
	// Cell is the cell that this instance owns; nil if it owns none.
	Cell *Cell `json:"cell,omitempty"`
}

// Cell is the state of an owned cell.
type Cell struct {
	// PreviousRunsKnown says that every worker that may run something of the
	// previous term has answered, or that its lease has expired.
	PreviousRunsKnown bool     `json:"settled"`
	Workers           []Worker `json:"workers"`
	// Jobs are the oldest jobs that have not ended, oldest first; MoreJobs is the
	// number of those left out.
	Jobs     []Job `json:"jobs"`
	MoreJobs int   `json:"more_jobs,omitempty"`
	// Accounts are the client accounts and their shares of the workers; empty if the
	// shares are not in use.
	Accounts []Account `json:"accounts,omitempty"`
	// Interference holds the pairs of task profiles of which one slows the other.
	Interference []Interference `json:"interference,omitempty"`
}

// Interference says how much a neighbour on the same worker slows tasks of a profile.
type Interference struct {
	Victim    string `json:"victim"`
	Neighbour string `json:"neighbour"`
	// Slowdown is the factor by which the victim takes longer, Error the standard error of
	// its logarithm.
	Slowdown float64 `json:"slowdown"`
	Error    float64 `json:"error"`
	// RunsWith and RunsWithout count the victim's runs by the share of their time with and
	// without the neighbour.
	RunsWith    float64 `json:"runs_with"`
	RunsWithout float64 `json:"runs_without"`
}

// Worker is the state of a worker as the owner knows it.
type Worker struct {
	ID    string `json:"id"`
	Pool  string `json:"pool"`
	Rack  string `json:"rack"`
	State string `json:"state"`
	Runs  int    `json:"runs"`
	// FreeCPU is in thousandths of a core.
	FreeCPU   int `json:"free_cpu"`
	FreeMemMB int `json:"free_mem_mb"`
	FreeGPU   int `json:"free_gpu"`
	// SpeedPercent is the speed in percent of a usual worker's; 0 if not known.
	SpeedPercent int `json:"speed_percent,omitempty"`
}

// Job is a job that has not ended.
type Job struct {
	ID       string `json:"id"`
	Queue    string `json:"queue"`
	Account  string `json:"account"`
	Priority int    `json:"priority"`
	AgeMS    int64  `json:"age_ms"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	// WaitReason says why tasks of the job are waiting; empty if none is.
	WaitReason string `json:"why,omitempty"`
}

// Account is a client account and its share of the workers.
type Account struct {
	Name          string `json:"name"`
	GuaranteedGPU int    `json:"guaranteed_gpu"`
	// UsageOfShare is the recent usage relative to the account's share of all usage: 1 if it
	// uses just its share.
	UsageOfShare float64 `json:"usage_of_share"`
	// WaitingJobs counts the jobs with tasks that wait for room.
	WaitingJobs int `json:"waiting_jobs"`
	// OverShare says that the account's work comes after that of the others.
	OverShare bool `json:"over_share"`
}
