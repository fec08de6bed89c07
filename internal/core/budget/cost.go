package budget

import "coltsfootmux/internal/job"

// Upper estimates of memory, in bytes.
const (
	// jobBytes is for a job's entry in the cell and in the tables of its owner.
	jobBytes = 2048
	// stepBytes is for a step of a job, and once more for that of an occurrence.
	stepBytes = 320
	// UnitBytes is for a task, or for a gang as a whole, that has not ended.
	UnitBytes = 256
	// occurrenceBytes is for an occurrence that has ended or is not due.
	occurrenceBytes = 64
	// recordCopies is how many copies of a job's text an owner holds while it takes over:
	// the answer of the store, its decoded records, and the jobs.
	recordCopies = 3
)

// MaxOpenUnits is the number of tasks and gangs up to which further occurrences of a job are
// opened, as many as a job of one occurrence may have.
const MaxOpenUnits = 20000

// Cost is what an owner of the cell needs for a job, in bytes.
type Cost struct {
	// Record is needed as long as the job is known, Tasks until it has ended.
	Record int64
	Tasks  int64
}

// Total returns what is needed for a job that has not ended.
func (c Cost) Total() int64 { return c.Record + c.Tasks }

// CostOf returns the cost of a valid job.
func CostOf(j *job.Job) Cost {
	text := len(j.Spec) + len(j.ID) + len(j.Account) + len(j.Queue.Name) + len(j.Queue.Pool)
	for i := range j.Steps {
		s := &j.Steps[i]
		text += len(s.Label) + len(s.DataRack) + len(s.Image) + 8*len(s.After)
	}
	units, count := UnitsOf(j), j.OccurrenceCount()
	open := min(count, MaxOpenUnits/max(units, 1)+1)
	return Cost{
		Record: jobBytes + int64(recordCopies*text) + int64(len(j.Steps)*stepBytes),
		Tasks:  int64(open*(units*UnitBytes+len(j.Steps)*stepBytes)) + int64((count-1)*occurrenceBytes),
	}
}

// UnitsOf returns the number of tasks and gangs of one occurrence of a valid job.
func UnitsOf(j *job.Job) int {
	n := 0
	for i := range j.Steps {
		if j.Steps[i].Gang {
			n++
		} else {
			n += j.Steps[i].Count
		}
	}
	return n
}
