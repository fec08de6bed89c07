package job

import (
	"strconv"
	"strings"
)

// TaskID identifies one task of a step in one occurrence of a job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name as workers know it.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a name made by String; ok is false for any other text.
func ParseTaskID(s string) (id TaskID, ok bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{Job: ID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, true
}
