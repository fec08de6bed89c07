package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/confsync"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/model"
)

// fakeConfigs accepts every valid change, after as many conflicts as races says.
type fakeConfigs struct {
	cur       *config.Versioned
	conflicts int
	err       error
}

func (f *fakeConfigs) Current() *config.Versioned { return f.cur }

func (f *fakeConfigs) Versions(context.Context) []confsync.HostVersion {
	return []confsync.HostVersion{{Host: "a", Version: f.cur.Version, Answered: true}}
}

func (f *fakeConfigs) Publish(_ context.Context, rec *settings.Record) (settings.Verdict, error) {
	if f.err != nil {
		return settings.Verdict{}, f.err
	}
	if f.conflicts > 0 {
		f.conflicts--
		f.cur = &config.Versioned{Version: f.cur.Version + 1, Document: f.cur.Document}
		return settings.Verdict{Ruling: settings.RulingConflict, Version: f.cur.Version, Record: rec}, nil
	}
	doc, err := settings.Apply(&f.cur.Document, rec.Change)
	if err != nil {
		return settings.Verdict{Ruling: settings.RulingRefused, Why: err.Error()}, nil
	}
	f.cur = &config.Versioned{Version: rec.Base + 1, Document: *doc}
	return settings.Verdict{Ruling: settings.RulingAccepted, Version: f.cur.Version}, nil
}

// fakeTrail is an audit trail that keeps its entries in a slice.
type fakeTrail struct {
	entries []audit.Entry
	full    bool
	// addFails makes Add fail although Room reported true.
	addFails bool
}

func (f *fakeTrail) Room() bool { return !f.full }

func (f *fakeTrail) Find(audit.Filter) []audit.Entry { return f.entries }

func (f *fakeTrail) Add(_ context.Context, e audit.Entry) error {
	if f.addFails {
		return audit.ErrFull
	}
	f.entries = append(f.entries, e)
	return nil
}

// noHosts is an empty host list.
type noHosts struct{}

func (noHosts) Hosts(context.Context) ([]model.Host, error) { return nil, nil }

func newServer() (*Server, *fakeConfigs, *fakeTrail) {
	doc := &config.Document{
		Fleet: config.Fleet{
			DataCentres: []config.DataCentre{{Name: "rix1", Region: "home"}},
			Cells: []model.Cell{{ID: "r1", DataCentre: "rix1", Workers: []model.Worker{
				{ID: "w1", Addr: "127.0.0.1:1", Capacity: model.Shape{Slots: 1}},
			}}},
		},
		Accounts: []config.Account{{Name: "lab"}},
	}
	configs := &fakeConfigs{cur: &config.Versioned{Version: 4, Document: *doc.WithDefaults().Canonical()}}
	trail := &fakeTrail{}
	return New(Options{Configs: configs, Trail: trail, Hosts: noHosts{}, Auth: auth.TrustAll{}}), configs, trail
}

func send(s *Server, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

const addExceptionJSON = `{"exception":{"id":"busy","reason":"audit week","account":"lab","concurrency":3}}`

func TestChangeWithoutBaseIsRetriedAfterConflict(t *testing.T) {
	s, configs, _ := newServer()
	configs.conflicts = 2
	if w := send(s, "POST", "/v1/exceptions", addExceptionJSON); w.Code != http.StatusOK || configs.cur.Version != 7 {
		t.Errorf("%d at version %d: %s", w.Code, configs.cur.Version, w.Body)
	}
}

func TestChangeWithBaseIsNotRetriedAfterConflict(t *testing.T) {
	s, configs, _ := newServer()
	configs.conflicts = 1
	body := strings.Replace(addExceptionJSON, `"exception"`, `"base":4,"exception"`, 1)
	if w := send(s, "POST", "/v1/exceptions", body); w.Code != http.StatusConflict {
		t.Errorf("%d: %s", w.Code, w.Body)
	}
}

func TestChangeIsRefusedWhileTheAuditTrailIsFull(t *testing.T) {
	s, configs, trail := newServer()
	trail.full = true
	if w := send(s, "POST", "/v1/exceptions", addExceptionJSON); w.Code != http.StatusServiceUnavailable || configs.cur.Version != 4 {
		t.Errorf("%d at version %d", w.Code, configs.cur.Version)
	}
}

func TestFailureToAuditRefusalIsReported(t *testing.T) {
	s, _, trail := newServer()
	trail.addFails = true
	if w := send(s, "POST", "/v1/drain", `{"reason":"x"}`); w.Code != http.StatusServiceUnavailable {
		t.Errorf("%d: %s", w.Code, w.Body)
	}
}

func TestForcedDocumentExceedsVersionsOfAllHosts(t *testing.T) {
	s, configs, _ := newServer()
	text, err := config.Encode(&configs.cur.Document)
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(PublishRequest{Reason: "the log was lost", Document: string(text), Force: true})
	if err != nil {
		t.Fatal(err)
	}
	if w := send(s, "POST", "/v1/config", string(body)); w.Code != http.StatusOK || configs.cur.Version != 4+forceMargin+1 {
		t.Errorf("%d at version %d: %s", w.Code, configs.cur.Version, w.Body)
	}
}

func TestRefusedChangeIsAudited(t *testing.T) {
	s, configs, trail := newServer()
	configs.err = confsync.ErrNotRecorded
	if w := send(s, "POST", "/v1/exceptions", addExceptionJSON); w.Code != http.StatusServiceUnavailable {
		t.Fatalf("%d: %s", w.Code, w.Body)
	}
	if len(trail.entries) != 1 || trail.entries[0].Ruling != audit.Refused || trail.entries[0].Reason != "audit week" {
		t.Errorf("entries %+v", trail.entries)
	}
}

func TestPendingChangeIsReportedAndAudited(t *testing.T) {
	s, configs, trail := newServer()
	configs.err = confsync.ErrPending
	if w := send(s, "POST", "/v1/exceptions", addExceptionJSON); w.Code != http.StatusAccepted || !strings.Contains(w.Body.String(), `"state":"pending"`) {
		t.Errorf("%d: %s", w.Code, w.Body)
	}
	if len(trail.entries) != 1 || trail.entries[0].Ruling != audit.Pending || len(trail.entries[0].Changes) != 1 {
		t.Errorf("entries %+v", trail.entries)
	}
}

func TestInvalidBodiesAreRefused(t *testing.T) {
	cases := map[string]struct {
		path, body string
		want       int
	}{
		"an empty body":               {"/v1/config", "", http.StatusBadRequest},
		"a truncated body":            {"/v1/config", `{"base":1`, http.StatusBadRequest},
		"an unknown field":            {"/v1/drain", `{"workr":"w1"}`, http.StatusBadRequest},
		"a wrong type":                {"/v1/drain", `{"worker":7}`, http.StatusBadRequest},
		"a second value":              {"/v1/drain", `{"worker":"w1","reason":"x"} {}`, http.StatusBadRequest},
		"a body that is too large":    {"/v1/drain", `{"reason":"` + strings.Repeat("x", maxSmallBody) + `"}`, http.StatusRequestEntityTooLarge},
		"no reason":                   {"/v1/drain", `{"worker":"w1"}`, http.StatusUnprocessableEntity},
		"a blank reason":              {"/v1/drain", `{"worker":"w1","reason":" "}`, http.StatusUnprocessableEntity},
		"a very long reason":          {"/v1/drain", `{"worker":"w1","reason":"` + strings.Repeat("x", maxReasonBytes+1) + `"}`, http.StatusUnprocessableEntity},
		"no target":                   {"/v1/drain", `{"reason":"x"}`, http.StatusUnprocessableEntity},
		"an unknown target":           {"/v1/drain", `{"cell":"r9","reason":"x"}`, http.StatusUnprocessableEntity},
		"a bad duration":              {"/v1/exceptions", `{"exception":{"id":"a","reason":"x","longest_wait":"soon"}}`, http.StatusBadRequest},
		"a drain that does not exist": {"/v1/undrain", `{"worker":"w1","reason":"x"}`, http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, configs, _ := newServer()
			if w := send(s, "POST", c.path, c.body); w.Code != c.want {
				t.Errorf("%d, want %d: %s", w.Code, c.want, w.Body)
			}
			if configs.cur.Version != 4 {
				t.Error("a change was made")
			}
		})
	}
}

// FuzzBodies checks that no request body causes a server error or an invalid
// configuration.
func FuzzBodies(f *testing.F) {
	paths := []string{"/v1/config", "/v1/config/diff", "/v1/exceptions", "/v1/drain", "/v1/undrain"}
	f.Add(byte(2), addExceptionJSON)
	f.Add(byte(3), `{"worker":"w1","reason":"x","expires":"2026-12-31T00:00:00Z"}`)
	f.Add(byte(0), `{"base":4,"reason":"x","document":"accounts: []"}`)
	f.Add(byte(1), `{"document":"fleet: ["}`)
	f.Add(byte(4), `[`)
	f.Fuzz(func(t *testing.T, path byte, body string) {
		s, configs, _ := newServer()
		w := send(s, "POST", paths[int(path)%len(paths)], body)
		if w.Code >= http.StatusInternalServerError {
			t.Fatalf("%d: %s", w.Code, w.Body)
		}
		if err := config.Validate(&configs.cur.Document); err != nil {
			t.Fatal(err)
		}
	})
}

func TestStalledBodyDoesNotBlockOtherDocuments(t *testing.T) {
	s, _, _ := newServer()
	s.opts.DocumentTimeout = 200 * time.Millisecond
	srv := httptest.NewServer(s)
	defer srv.Close()
	body, stalled := io.Pipe()
	defer func() { _ = stalled.Close() }()
	go func() { _, _ = stalled.Write([]byte(`{"document":"`)) }()
	res, err := http.Post(srv.URL+"/v1/config/diff", "application/json", body)
	if err == nil {
		_ = res.Body.Close()
	}
	if w := send(s, "POST", "/v1/config/diff", `{}`); w.Code == http.StatusServiceUnavailable {
		t.Error("the other document still blocks this one")
	}
}

// slowBody is a request body whose Read blocks until end is closed.
type slowBody struct{ end chan struct{} }

func (b slowBody) Read([]byte) (int, error) {
	<-b.end
	return 0, io.EOF
}

func TestOneDocumentIsReadAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newServer()
		slow := slowBody{end: make(chan struct{})}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/v1/config/diff", slow))
		}()
		synctest.Wait()
		if w := send(s, "POST", "/v1/config/diff", `{}`); w.Code != http.StatusServiceUnavailable {
			t.Errorf("%d while another document is being read", w.Code)
		}
		if w := send(s, "POST", "/v1/drain", `{"worker":"w1","reason":"x"}`); w.Code != http.StatusOK {
			t.Errorf("%d: a drain waits for a document that is being read", w.Code)
		}
		close(slow.end)
		<-done
		if w := send(s, "POST", "/v1/config/diff", `{}`); w.Code == http.StatusServiceUnavailable {
			t.Error("still busy after the other document was read")
		}
	})
}
