package problem_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/problem"
)

func TestWriteSendsStatusAndRetryAfterInSeconds(t *testing.T) {
	w := httptest.NewRecorder()
	p := problem.New(429, "rate_limited", "Too many.")
	p.RetryAfter = 1200 * time.Millisecond
	p.Write(w)
	if w.Code != 429 || w.Header().Get("Retry-After") != "2" || w.Header().Get("Content-Type") != problem.ContentType {
		t.Fatalf("got %d %v", w.Code, w.Header())
	}
	if !strings.Contains(w.Body.String(), `"code":"rate_limited"`) {
		t.Fatalf("got %s", w.Body)
	}
}
