package entry

import (
	"encoding/json"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// AnswerBody is the JSON of an answer about one request or job.
type AnswerBody struct {
	Key     model.Key     `json:"key"`
	Account model.Account `json:"account,omitempty"`
	Kind    model.Kind    `json:"kind,omitempty"`
	State   wire.State    `json:"state"`
	// Why says why waiting work waits.
	Why     string        `json:"why,omitempty"`
	Members int           `json:"members,omitempty"`
	Outcome model.Outcome `json:"outcome,omitempty"`
	Reason  model.Reason  `json:"reason,omitempty"`
	// Failed says that the task ran to its end and reported failure.
	Failed bool `json:"failed,omitempty"`
	// Answer is the task's answer when it is JSON, else AnswerBase64 is.
	Answer       json.RawMessage `json:"answer,omitempty"`
	AnswerBase64 []byte          `json:"answer_base64,omitempty"`
}

// ListBody is the JSON of GET /v1/requests.
type ListBody struct {
	Items []AnswerBody `json:"items"`
	// Complete is false when some schedulers could not be asked.
	Complete bool `json:"complete"`
}

// setResult fills in how the work ended.
func (b *AnswerBody) setResult(r *model.Result) {
	b.State = wire.StateEnded
	b.Outcome, b.Reason, b.Failed = r.Outcome, r.Reason, r.Failed
	if json.Valid(r.Answer) {
		b.Answer = r.Answer
		return
	}
	b.AnswerBase64 = r.Answer
}

// answerOf gives the answer about work that a scheduler told of.
func answerOf(s *wire.Status) AnswerBody {
	b := AnswerBody{Key: s.Key, Account: s.Account, Kind: s.Kind, State: s.State, Why: s.StateReason, Members: s.Members}
	if s.Result != nil {
		b.setResult(s.Result)
	}
	return b
}
