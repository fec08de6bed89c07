package model

// Adjacency says how near each other the members of a gang must run.
type Adjacency string

// The adjacencies, from none to the narrowest.
const (
	AdjacentAny    Adjacency = ""
	AdjacentDC     Adjacency = "data_centre"
	AdjacentRack   Adjacency = "rack"
	AdjacentWorker Adjacency = "worker"
)

// Valid reports whether a is one of the adjacencies.
func (a Adjacency) Valid() bool {
	switch a {
	case AdjacentAny, AdjacentDC, AdjacentRack, AdjacentWorker:
		return true
	}
	return false
}
