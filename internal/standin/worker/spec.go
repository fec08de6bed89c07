package worker

import (
	"encoding/json"
	"time"

	"coltsfootmux/internal/model"
)

const (
	// maxAnswer bounds the answer of one task, in bytes.
	maxAnswer = 1 << 20
	// maxRunMS bounds a task's run time: 30 days in milliseconds.
	maxRunMS = 30 * 24 * 3600 * 1000
)

// Spec is the request body that SpecRunner understands.
type Spec struct {
	// RunMS is how long the task runs, in milliseconds.
	RunMS int64 `json:"run_ms"`
	// AnswerBytes is the size of its answer.
	AnswerBytes int `json:"answer_bytes"`
	// Fail makes the task end in failure.
	Fail bool `json:"fail,omitempty"`
	// Used is what the task uses; absent for its declared shape.
	Used *model.Shape `json:"used,omitempty"`
}

// Encode gives the request body of a spec.
func (s Spec) Encode() []byte {
	// A struct of numbers, booleans and strings always encodes.
	data, _ := json.Marshal(s)
	return data
}

// SpecRunner plans a task by the Spec in its body. An empty body is an empty
// Spec; a body that is no Spec makes a task that fails at once.
type SpecRunner struct{}

// Plan reads the task's Spec.
func (SpecRunner) Plan(t Task) Plan {
	spec, err := parseSpec(t.Body)
	if err != nil {
		return Plan{Failed: true, Answer: []byte("body is not a task specification")}
	}
	plan := Plan{
		RunTime: time.Duration(min(max(spec.RunMS, 0), maxRunMS)) * time.Millisecond,
		Failed:  spec.Fail,
		Answer:  ExpectedAnswer(t.Label.Key, t.Label.Member, spec.AnswerBytes),
	}
	if spec.Used != nil {
		plan.Used = *spec.Used
	}
	return plan
}

func parseSpec(body []byte) (Spec, error) {
	var spec Spec
	if len(body) == 0 {
		return spec, nil
	}
	err := json.Unmarshal(body, &spec)
	return spec, err
}
