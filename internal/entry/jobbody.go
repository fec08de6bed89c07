package entry

import "coltsfootmux/internal/model"

// JobBody is the JSON of POST /v1/jobs.
type JobBody struct {
	RequestBody
	// Members is the gang size; nil means 1.
	Members   *int            `json:"members"`
	Adjacency model.Adjacency `json:"adjacency"`
}
