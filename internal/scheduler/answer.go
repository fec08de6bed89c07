package scheduler

import (
	"encoding/json"

	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// joinAnswers gives a single member's answer as it is, and a gang's as a JSON
// list of its members' answers in order, each in base64.
func joinAnswers(parts []placement.Part, ended map[model.LeaseID]platform.Ending) []byte {
	if len(parts) == 1 {
		return ended[parts[0].Lease].Answer
	}
	all := make([][]byte, len(parts))
	for i, p := range parts {
		all[i] = ended[p.Lease].Answer
	}
	out, _ := json.Marshal(all)
	return out
}
