package platform

import "coltsfootmux/internal/model"

// Label says on a worker whose work a lease is for, so that a successor can adopt it.
type Label struct {
	Key         model.Key     `json:"key"`
	Group       model.GroupID `json:"group"`
	Account     model.Account `json:"account"`
	Kind        model.Kind    `json:"kind"`
	Member      int           `json:"member"`
	Members     int           `json:"members"`
	Preemptible bool          `json:"preemptible"`
	Idempotent  bool          `json:"idempotent"`
	Class       model.Class   `json:"class"`
	// Attempt counts the starts of idempotent work, from 1.
	Attempt int `json:"attempt"`
	// Detached marks a job, whose ending nobody waits for on a connection.
	Detached bool `json:"detached"`
}
