package worker

import (
	"encoding/json"
	"time"

	"coltsfootmux/internal/model"
)

const (
	// maxAnswer limits the answer of a task, in bytes.
	maxAnswer = 1 << 20
	// maxRunMS limits a task's run time to 30 days, in milliseconds.
	maxRunMS = 30 * 24 * 3600 * 1000
)

// Spec is the JSON request body that SpecRunner reads.
type Spec struct {
	// RunMS is how long the task runs, in milliseconds.
	RunMS int64 `json:"run_ms"`
	// AnswerBytes is the size of the answer.
	AnswerBytes int `json:"answer_bytes"`
	// Fail makes the task end in failure.
	Fail bool `json:"fail,omitempty"`
	// Used is the task's resource usage. If absent, it is the declared shape.
	Used *model.Shape `json:"used,omitempty"`
}

// Encode returns the spec as a request body.
func (s Spec) Encode() []byte {
	// A struct of numbers, booleans and strings always marshals.
	data, _ := json.Marshal(s)
	return data
}

// SpecRunner plans a task according to the Spec in its body. An empty body is an
// empty Spec; a task whose body cannot be decoded fails at once.
type SpecRunner struct{}

// Plan returns the plan for the task's Spec.
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
