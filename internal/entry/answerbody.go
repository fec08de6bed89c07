package entry

import (
	"encoding/json"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// AnswerBody is the JSON of a response about one request or job.
type AnswerBody struct {
	Key     model.Key     `json:"key"`
	Account model.Account `json:"account,omitempty"`
	Kind    model.Kind    `json:"kind,omitempty"`
	State   wire.State    `json:"state"`
	// Why explains what waiting work waits for.
	Why     string        `json:"why,omitempty"`
	Members int           `json:"members,omitempty"`
	Outcome model.Outcome `json:"outcome,omitempty"`
	Reason  model.Reason  `json:"reason,omitempty"`
	// Failed means that the task ran to its end and reported failure.
	Failed bool `json:"failed,omitempty"`
	// Answer is the task's answer if it is valid JSON. AnswerBase64 is any other one.
	Answer       json.RawMessage `json:"answer,omitempty"`
	AnswerBase64 []byte          `json:"answer_base64,omitempty"`
}

// ListBody is the JSON of GET /v1/requests.
type ListBody struct {
	Items []AnswerBody `json:"items"`
	// Complete is false if some scheduler did not answer or the list was cut at its
	// limit.
	Complete bool `json:"complete"`
}

// setResult fills in the result of work that has ended.
func (b *AnswerBody) setResult(r *model.Result) {
	b.State = wire.StateEnded
	b.Outcome, b.Reason, b.Failed = r.Outcome, r.Reason, r.Failed
	if json.Valid(r.Answer) {
		b.Answer = r.Answer
		return
	}
	b.AnswerBase64 = r.Answer
}

// answerOf returns the response for a status that a scheduler has reported.
func answerOf(s *wire.Status) AnswerBody {
	b := AnswerBody{Key: s.Key, Account: s.Account, Kind: s.Kind, State: s.State, Why: s.StateReason, Members: s.Members}
	if s.Result != nil {
		b.setResult(s.Result)
	}
	return b
}
