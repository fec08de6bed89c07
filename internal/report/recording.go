package report

import (
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
)

// ErrRecording means that a recording could not be written or read.
var ErrRecording = eris.New("recording")

// Recording holds the results of one load run.
type Recording struct {
	Title   string    `json:"title"`
	Began   time.Time `json:"began"`
	Seed    uint64    `json:"seed"`
	Kinds   []Kind    `json:"kinds"`
	Answers []Answer  `json:"answers"`
	Samples []Sample  `json:"samples"`
	Traffic []Traffic `json:"traffic"`
	// Marks are notable events of the run.
	Marks []Mark `json:"marks"`
}

// Kind holds the counts and latencies of one kind of request.
type Kind struct {
	Kind    model.Kind    `json:"kind"`
	Sent    int           `json:"sent"`
	Done    int           `json:"done"`
	NotRun  int           `json:"not_run"`
	Unknown int           `json:"unknown"`
	Doubled int           `json:"doubled"`
	Lost    int           `json:"lost"`
	Untrue  int           `json:"untrue"`
	P50     time.Duration `json:"p50_ns"`
	P99     time.Duration `json:"p99_ns"`
}

// Answer is one answered request.
type Answer struct {
	Kind    model.Kind    `json:"kind"`
	At      time.Duration `json:"at_ns"`
	Latency time.Duration `json:"took_ns"`
	Outcome model.Outcome `json:"outcome"`
}

// Sample is the state of all owned cells at one time of the run.
type Sample struct {
	At            time.Duration `json:"at_ns"`
	Fragmentation float64       `json:"fragmentation"`
	Used          float64       `json:"used"`
	OwnedCells    int           `json:"owned_cells"`
	Accounts      []Account     `json:"accounts"`
}

// Account is one client account's use of accelerators at one time.
type Account struct {
	ID         model.Account `json:"id"`
	Guaranteed int           `json:"guaranteed"`
	Used       int           `json:"used"`
	Lent       int           `json:"lent"`
	Waiting    int           `json:"waiting"`
}

// Traffic is the number of bytes sent for one kind of call.
type Traffic struct {
	Kind        string `json:"kind"`
	Bytes       uint64 `json:"bytes"`
	CrossRegion uint64 `json:"cross_region"`
}

// Mark is a named event at one time of the run.
type Mark struct {
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

// Write writes the recording to a file as JSON. The error wraps ErrRecording.
func (r *Recording) Write(path string) error {
	data, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(ErrRecording, err.Error())
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return eris.Wrap(ErrRecording, err.Error())
	}
	return nil
}

// Read reads a recording from a file. The error wraps ErrRecording.
func Read(path string) (*Recording, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(ErrRecording, err.Error())
	}
	var r Recording
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, eris.Wrap(ErrRecording, err.Error())
	}
	return &r, nil
}
