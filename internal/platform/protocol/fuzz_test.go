package protocol_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
)

var errs = []error{
	platform.ErrStaleEpoch, platform.ErrRefused, platform.ErrNotFound,
	platform.ErrExpired, platform.ErrUnavailable, platform.ErrThrottled, platform.ErrUnclear,
}

func TestErrorsSurviveTheProblemDocument(t *testing.T) {
	for _, want := range errs {
		p := protocol.ProblemOf(want)
		body, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		if got := protocol.ParseProblem(p.Status, body); !errors.Is(got, want) {
			t.Errorf("%v became %v", want, got)
		}
	}
}

func TestDoubtfulAnswersProveNothing(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		body   string
	}{
		"a page of some other server":      {http.StatusNotFound, "<html>not found</html>"},
		"an unknown code":                  {http.StatusConflict, `{"code":"other","status":409}`},
		"a code that is not the status's":  {http.StatusBadGateway, `{"code":"refused","status":422}`},
		"an empty body":                    {http.StatusServiceUnavailable, ``},
		"a truncated document":             {http.StatusConflict, `{"code":"stale_epoch"`},
		"a document with nothing in it":    {http.StatusConflict, `{}`},
		"a success that is none":           {http.StatusNoContent, ``},
		"a redirect":                       {http.StatusFound, ``},
		"a server error that names itself": {http.StatusInternalServerError, `{"code":"unclear","status":500}`},
	} {
		t.Run(name, func(t *testing.T) {
			if err := protocol.ParseProblem(tc.status, []byte(tc.body)); !errors.Is(err, platform.ErrUnclear) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func FuzzParseProblem(f *testing.F) {
	f.Add(409, []byte(`{"code":"stale_epoch","status":409,"title":"Conflict"}`))
	f.Add(422, []byte(`{"code":"refused"}`))
	f.Add(503, []byte(`{"code":"unavailable"`))
	f.Add(200, []byte(`null`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		err := protocol.ParseProblem(status, body)
		if err == nil {
			t.Fatal("a problem became a success")
		}
		if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable && !errors.Is(err, platform.ErrUnclear) {
			t.Fatalf("status %d proves %v", status, err)
		}
	})
}

func TestBusyIsUnavailableButNotTheOtherWayRound(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		busy bool
	}{
		"over the cap": {platform.ErrThrottled, true},
		"down":         {platform.ErrUnavailable, false},
	} {
		p := protocol.ProblemOf(tc.err)
		body, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		got := protocol.ParseProblem(p.Status, body)
		if !errors.Is(got, platform.ErrUnavailable) || errors.Is(got, platform.ErrThrottled) != tc.busy {
			t.Errorf("%s became %v", name, got)
		}
	}
}
