package entry

import "coltsfootmux/internal/model"

// JobBody is the JSON of POST /v1/jobs.
type JobBody struct {
	RequestBody
	// Members is the gang size; 1 when it is left out.
	Members   *int            `json:"members"`
	Adjacency model.Adjacency `json:"adjacency"`
}
