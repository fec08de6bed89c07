package overview

// Explanation says where a job would be placed if it were submitted now, and why. The
// job was not submitted.
type Explanation struct {
	Term     int64  `json:"term"`
	Queue    string `json:"queue"`
	Pool     string `json:"pool"`
	Priority int    `json:"priority"`
	Account  string `json:"account"`
	// Entitled says that the job is urgent and within its account's guarantee.
	Entitled bool `json:"entitled"`
	// ObjectiveMS is the time in which the job should be complete, by the predicted run
	// times of its steps.
	ObjectiveMS int64           `json:"objective_ms"`
	Steps       []ExplainedStep `json:"steps"`
}

// ExplainedStep is what would happen to the tasks of one step.
type ExplainedStep struct {
	Step  int  `json:"step"`
	Tasks int  `json:"tasks"`
	Gang  bool `json:"gang,omitempty"`
	// Rank is the step's place in the order of the Waiting steps of all jobs, from 1; 0
	// if the step may not start yet.
	Rank    int `json:"rank"`
	Waiting int `json:"waiting_steps"`
	// PredictedMS is the predicted run time of one task.
	PredictedMS int64 `json:"predicted_ms"`
	// Starting, Planned, Reserved and Unplaced count the tasks that would start, those
	// for which room would be made, those for which room would be kept until other work
	// ends, and the others.
	Starting int `json:"starting"`
	Planned  int `json:"planned,omitempty"`
	Reserved int `json:"reserved,omitempty"`
	Unplaced int `json:"unplaced,omitempty"`
	// WaitReason says why the unplaced tasks wait; empty if there is none.
	WaitReason string `json:"why,omitempty"`
	// Candidates is how the pool's workers were narrowed down for the unplaced tasks;
	// nil if there is none.
	Candidates *Candidates `json:"candidates,omitempty"`
	// Placements are those of the step's first tasks; MorePlacements is the number left
	// out. Stops are the runs that would be stopped for the step, MoreStops the number left
	// out.
	Placements     []Placement `json:"placements,omitempty"`
	MorePlacements int         `json:"more_placements,omitempty"`
	Stops          []Stop      `json:"stops,omitempty"`
	MoreStops      int         `json:"more_stops,omitempty"`
}

// Candidates counts the workers that a task could be placed on.
type Candidates struct {
	// Listed counts the pool's workers, Usable those of them that may be given work,
	// Allowed those of the usable ones that may run the task, and LargeEnough those of
	// the allowed ones that would hold it if nothing else ran there.
	Listed      int `json:"listed"`
	Usable      int `json:"usable"`
	Allowed     int `json:"allowed"`
	LargeEnough int `json:"large_enough"`
}

// The states of a Placement.
const (
	PlacementStarting = "starts"
	PlacementPlanned  = "room is made"
	PlacementReserved = "room is reserved"
)

// Placement is the worker on which a task would run.
type Placement struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	Rack   string `json:"rack"`
	State  string `json:"state"`
	// Remote says that the worker is not in the rack of the task's data, Risky that
	// failures make other workers preferable.
	Remote bool `json:"remote,omitempty"`
	Risky  bool `json:"risky,omitempty"`
	// FreeGPU and FreeCPU are what the worker had free before the task, or the gang, was
	// placed; FreeCPU is in thousandths of a core. They are 0 if the room is not free yet.
	FreeGPU int `json:"free_gpu"`
	FreeCPU int `json:"free_cpu"`
	// Choice is the number of workers that had room, and DecidedBy the first criterion in
	// which the next best of them was worse. They are given only for single tasks that
	// would start.
	Choice    int    `json:"choice,omitempty"`
	DecidedBy string `json:"decided_by,omitempty"`
}

// Stop is a run that would be stopped.
type Stop struct {
	Job    string `json:"job"`
	Step   int    `json:"step"`
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	// LostCoreMS is the work that would be lost, in thousandths of a core-second.
	LostCoreMS int64 `json:"lost_core_ms"`
}
