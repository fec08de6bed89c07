// Package overview holds what an instance shows operators of itself and of the
// cell that it owns.
package overview

// Instance is one process.
type Instance struct {
	Name string `json:"name"`
	// Incarnation names this start of the process.
	Incarnation    string `json:"life"`
	Ready          bool   `json:"ready"`
	StoreReachable bool   `json:"store_reachable"`
	PolicyVersion  int64  `json:"policy_version"`
	// PolicyAgeMS is the time since the policy was last read from the store.
	PolicyAgeMS int64 `json:"policy_age_ms"`
	// Term is the newest term known, Owner the life that owns it, OwnerAddr where
	// its links are.
	Term      int64  `json:"term"`
	Owner     string `json:"owner"`
	OwnerAddr string `json:"owner_addr"`
	// Cell is what this instance owns; nil when it owns none.
	Cell *Cell `json:"cell,omitempty"`
}

// Cell is an owned cell.
type Cell struct {
	// PreviousRunsKnown says that the workers of the term before have been heard of.
	PreviousRunsKnown bool     `json:"settled"`
	Workers           []Worker `json:"workers"`
	// Jobs are those that have not ended, oldest first, MoreJobs how many more there are.
	Jobs     []Job `json:"jobs"`
	MoreJobs int   `json:"more_jobs,omitempty"`
}

// Worker is what the owner believes of a worker.
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
	// WaitReason says why its waiting tasks wait; empty when none does.
	WaitReason string `json:"why,omitempty"`
}
