package entry

import (
	"encoding/json"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// RequestBody is the JSON of POST /v1/requests.
type RequestBody struct {
	// Key is the idempotency key; it may be sent as a header instead.
	Key        model.Key     `json:"key"`
	Account    model.Account `json:"account"`
	Kind       model.Kind    `json:"kind"`
	Idempotent bool          `json:"idempotent"`
	// Deadline and Timeout say how long the caller waits; at most one is set.
	Deadline time.Time        `json:"deadline"`
	Timeout  *config.Duration `json:"timeout"`
	// Shape is one slot when it is left out.
	Shape       *model.Shape    `json:"shape"`
	Class       string          `json:"class"`
	Preemptible bool            `json:"preemptible"`
	DeclaredRun config.Duration `json:"declared_run"`
	// Body is any JSON value; BodyBase64 is for other bytes. At most one is set.
	Body       json.RawMessage `json:"body"`
	BodyBase64 []byte          `json:"body_base64"`
}
