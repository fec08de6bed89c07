package cell

import "coltsfootmux/internal/testcopy"

// sharedFields are the fields that a copy shares with the original on purpose, with the
// reason why that is safe. All other pointers, maps and slices must be copied.
var sharedFields = map[string]string{
	"cell.Core.policy":            "a policy is replaced, never modified",
	"cell.accountShares.policy":   "a policy is replaced, never modified",
	"cell.jobEntry.job":           "a job is never modified",
	"interference.Run.Present":    "exposures of an ended run are never modified",
	"interference.Sample.Present": "exposures of a sample are never modified",
	"cell.taskGroup.step":         "part of a job",
	"external.Worker.Labels":      "an entry of the list of workers is replaced, never modified",
	"cell.missingJobs.progress":   "read only; what is taken from it is clipped, so that appending copies it",
}

// droppedFields are the fields that a copy does not have.
var droppedFields = map[string]string{
	"cell.Core.actions": "they belong to the last step of the original",
	"cell.Core.trace":   "it belongs to an Explainer",
}

// compareCopy returns what is wrong with a copy of a core: what it shares with the original, and where
// it differs.
func compareCopy(original, copied *Core) []string {
	return testcopy.Compare("core", original, copied, func(field string) bool {
		return sharedFields[field] != "" || droppedFields[field] != ""
	})
}
