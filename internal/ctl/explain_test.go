package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"coltsfootmux/internal/overview"
	"coltsfootmux/internal/problem"
)

const jobFile = `{"spec":"work","steps":[{"count":2,"cpu":1000}]}`

// runExplain runs the command against a server that responds with h.
func runExplain(t *testing.T, h http.HandlerFunc, file string, flags ...string) (string, error) {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	path := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	c := Command()
	c.Writer = &out
	args := append([]string{"coltsfootmuxctl", "--server", s.URL}, flags...)
	err := c.Run(t.Context(), append(args, "node", "explain", "--queue", "q", "--account", "a", "--file", path))
	return out.String(), err
}

func TestExplainShowsPlacementsStopsAndReasons(t *testing.T) {
	respond := func(w http.ResponseWriter, r *http.Request) {
		var in explainRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || r.URL.Path != "/explain" || r.Method != http.MethodPost ||
			in.Queue != "q" || in.Account != "a" || string(in.Job) != jobFile {
			t.Errorf("%s %s %+v, error %v", r.Method, r.URL.Path, in, err)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(overview.Explanation{
			Queue: "q", Pool: "p", Entitled: true, ObjectiveMS: 4500,
			Steps: []overview.ExplainedStep{
				{
					Tasks: 2, Rank: 1, Waiting: 3, PredictedMS: 1500, Starting: 1, Planned: 1,
					Placements: []overview.Placement{
						{Worker: "w1", Rack: "r0", State: overview.PlacementStarting, Remote: true, FreeGPU: 8, FreeCPU: 2500, Choice: 4, DecidedBy: "not risky"},
						{Task: 1, Worker: "w2", Rack: "r0", State: overview.PlacementPlanned},
					},
					Stops: []overview.Stop{{Job: "low", Task: 5, Worker: "w2", LostCoreMS: 2250}}, MoreStops: 7,
				},
				{Step: 1, Tasks: 3, Unplaced: 3, WaitReason: "no room", Candidates: &overview.Candidates{Listed: 9, Usable: 8, Allowed: 7, LargeEnough: 6}},
			},
		})
	}
	out, err := runExplain(t, respond, jobFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"within its account's guarantee", "4.5s", "1 of 3", "starts, far from its data", "not risky", "2.5", "room is made",
		"low", "2.25", "7 MORE", "no room (workers: 9 listed, 8 usable, 7 allowed, 6 large enough)",
	} {
		if !strings.Contains(strings.ToLower(out), strings.ToLower(want)) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	out, err = runExplain(t, respond, jobFile, "--output", "json")
	var ex overview.Explanation
	if err != nil || json.Unmarshal([]byte(out), &ex) != nil || len(ex.Steps) != 2 {
		t.Errorf("as JSON: %s, error %v", out, err)
	}
}

// Scripts tell by the exit status whether to ask another instance, wait or mend the file.
func TestExplainFailures(t *testing.T) {
	for name, c := range map[string]struct {
		file     string
		status   int
		wantExit int
	}{
		"not the owner":  {jobFile, http.StatusConflict, exitConflict},
		"too soon":       {jobFile, http.StatusTooManyRequests, exitUnavailable},
		"invalid job":    {jobFile, http.StatusBadRequest, exitInvalid},
		"file not JSON":  {"{", 0, exitInvalid},
		"file too large": {`"` + strings.Repeat("x", maxJobFileBytes) + `"`, 0, exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := runExplain(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.status == 0 {
					t.Error("the server was called")
				}
				problem.New(c.status, "code", "detail").Write(w)
			}, c.file)
			var f *Failure
			if !errors.As(err, &f) || f.Status != c.wantExit {
				t.Errorf("error %v, want exit status %d", err, c.wantExit)
			}
			if c.status != 0 && f != nil && f.Text != "code: detail" {
				t.Errorf("text %q", f.Text)
			}
		})
	}
}
