package entry

import (
	"encoding/json"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// RequestBody is the JSON of POST /v1/requests.
type RequestBody struct {
	// Key is the idempotency key. It may be sent in the header Idempotency-Key
	// instead.
	Key        model.Key     `json:"key"`
	Account    model.Account `json:"account"`
	Kind       model.Kind    `json:"kind"`
	Idempotent bool          `json:"idempotent"`
	// Deadline and Timeout set how long the caller waits. At most one may be set.
	Deadline time.Time        `json:"deadline"`
	Timeout  *config.Duration `json:"timeout"`
	// Shape is what a member needs; nil means one slot.
	Shape       *model.Shape    `json:"shape"`
	Class       string          `json:"class"`
	Preemptible bool            `json:"preemptible"`
	DeclaredRun config.Duration `json:"declared_run"`
	// Body is any JSON value, BodyBase64 any other bytes. At most one may be set.
	Body       json.RawMessage `json:"body"`
	BodyBase64 []byte          `json:"body_base64"`
}
