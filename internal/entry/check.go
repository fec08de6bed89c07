package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
)

const (
	// maxMembers is the size of the largest gang that is accepted.
	maxMembers = 4096
	// maxShapePart bounds each part of a shape, so that sums of shapes can't overflow.
	maxShapePart = 1 << 30
	// maxKindBytes is the length of the longest kind.
	maxKindBytes = 128
)

// invalid returns the problem for a field whose value is not allowed.
func invalid(detail string) *problem.Problem {
	return problem.New(http.StatusUnprocessableEntity, codeInvalid, detail)
}

// unprocessable returns a 422 problem whose code is a reason.
func unprocessable(reason model.Reason, detail string) *problem.Problem {
	return problem.New(http.StatusUnprocessableEntity, string(reason), detail)
}

// checker validates one submission against the configuration in force.
type checker struct {
	now  time.Time
	conf *activeConfig
}

// buildWork validates a submission and returns the work that it describes.
func (c *checker) buildWork(b *JobBody, key model.Key, detached bool) (*model.Work, *problem.Problem) {
	body, p := c.taskBody(&b.RequestBody)
	if p != nil {
		return nil, p
	}
	class, ok := model.ParseClass(b.Class)
	if !ok {
		return nil, invalid("The class is batch, normal or urgent.")
	}
	timeout := defaultTimeout
	if detached {
		timeout = defaultJobTimeout
	}
	w := &model.Work{
		Key: key, Account: b.Account, Kind: b.Kind, Class: class, Idempotent: b.Idempotent,
		Deadline: deadlineOf(c.now, b.Deadline, b.Timeout, timeout), Submitted: c.now,
		Members: 1, Shape: model.Shape{Slots: 1}, Adjacency: b.Adjacency,
		Preemptible: b.Preemptible, DeclaredRun: b.DeclaredRun.D(), Detached: detached, Body: body,
	}
	if b.Members != nil {
		w.Members = *b.Members
	}
	if b.Shape != nil {
		w.Shape = *b.Shape
	}
	if p := c.checkFields(b, w); p != nil {
		return nil, p
	}
	return w, c.checkConfig(w)
}

// taskBody returns the bytes for the task. JSON is compacted, so that a request that
// is repeated with other white space has the same checksum.
func (c *checker) taskBody(b *RequestBody) ([]byte, *problem.Problem) {
	if len(b.Body) > 0 && len(b.BodyBase64) > 0 {
		return nil, invalid("Set body or body_base64, not both.")
	}
	body := b.BodyBase64
	if len(b.Body) > 0 {
		var buf bytes.Buffer
		if err := json.Compact(&buf, b.Body); err != nil {
			return nil, invalid("The body is no JSON value.")
		}
		body = buf.Bytes()
	}
	if len(body) > c.conf.bodyLimit() {
		return nil, problem.New(http.StatusRequestEntityTooLarge, codeTooLarge, "The body is over the size limit.")
	}
	return body, nil
}

// checkFields checks what does not depend on the configuration.
func (c *checker) checkFields(b *JobBody, w *model.Work) *problem.Problem {
	switch {
	case !b.Deadline.IsZero() && b.Timeout != nil:
		return invalid("Set deadline or timeout, not both.")
	case w.Kind == "" || len(w.Kind) > maxKindBytes:
		return invalid("The kind is a name of 1 to 128 characters.")
	case w.Shape.Negative():
		return invalid("No part of the shape may be negative.")
	case w.Shape.IsZero():
		return invalid("The shape asks for nothing.")
	case exceedsLimit(w.Shape):
		return unprocessable(model.ReasonImpossible, "No worker holds a member of this shape.")
	case w.Members < 1 || w.Members > maxMembers:
		return invalid("The number of members is from 1 to 4096.")
	case !w.Adjacency.Valid():
		return invalid("The adjacency is data_centre, rack, worker or left out.")
	case w.DeclaredRun < 0:
		return invalid("The declared run time may not be negative.")
	case w.Preemptible && !w.Idempotent:
		return invalid("Preemptible work may be stopped and started again, so it must be idempotent.")
	case !w.Deadline.After(c.now):
		return unprocessable(model.ReasonDeadline, "The deadline has passed.")
	}
	return nil
}

func exceedsLimit(s model.Shape) bool {
	return max(s.Slots, s.Accelerators, s.CPUMilli, s.MemoryMB) > maxShapePart
}

// checkConfig checks the work against the configuration. It sets the work's class if
// the configuration prescribes one.
func (c *checker) checkConfig(w *model.Work) *problem.Problem {
	l := c.conf.doc.Effective(c.now, w.Account, w.Kind)
	if l.Class != nil {
		w.Class = *l.Class
	}
	switch {
	case c.conf.doc.Account(w.Account) == nil:
		return unprocessable(model.ReasonUnknownAccount, "The client account is not in the configuration.")
	case isFromFuture(w.Key, c.now, c.conf.doc.Defaults.CallerSkew.D()):
		return unprocessable(model.ReasonKeyFromFuture, "The key's own time is further ahead than clocks may differ.")
	case !c.conf.capacity.fits(w, l.DataCentres):
		return unprocessable(model.ReasonImpossible, "No set of workers that the account may use holds this shape.")
	}
	return nil
}
