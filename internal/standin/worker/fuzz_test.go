package worker_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/worker"
)

var paths = []string{
	protocol.PathFence, protocol.PathHold, protocol.PathGrant, protocol.PathStart, protocol.PathWait,
	protocol.PathRenew, protocol.PathRelease, protocol.PathControl, protocol.PathList,
	worker.PathFault, worker.PathSilence, worker.PathRestart, "/v1/nothing",
}

func FuzzHandler(f *testing.F) {
	for i := range paths {
		f.Add(i, []byte(`{"lease":"a","cell":"c","epoch":1,"ttl":1000000000,"shape":{"slots":1}}`))
		f.Add(i, []byte(`{"holds":[{"group":1,"epoch":16,"ttl":5000000000}]}`))
		f.Add(i, []byte(`{"scope":{"kind":"group","name":"1"},"epoch":1,"lease":"a"}`))
		f.Add(i, []byte(`{"lease":`))
		f.Add(i, bytes.Repeat([]byte("["), 100_000))
	}
	f.Fuzz(func(t *testing.T, i int, body []byte) {
		if bytes.Contains(body, []byte("paused")) || bytes.Contains(body, []byte("slow")) || bytes.Contains(body, []byte("lose")) {
			t.Skip("these faults delay or drop responses by design")
		}
		w := worker.New(worker.Options{ID: "w", Capacity: capacity})
		path := paths[uint(i)%uint(len(paths))]
		res := httptest.NewRecorder()
		w.Handler().ServeHTTP(res, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
		if res.Code >= http.StatusInternalServerError {
			t.Fatalf("%s answered %d: %s", path, res.Code, res.Body)
		}
		listing, err := w.List(t.Context(), model.CellScope("c"))
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range listing.Leases {
			if !l.Shape.Fits(capacity) || l.Shape.Negative() {
				t.Fatalf("granted %+v", l)
			}
		}
	})
}

func FuzzSpecRunner(f *testing.F) {
	for _, s := range []string{``, `{}`, `{"run_ms":-1}`, `{"run_ms":9223372036854775807}`, `{"answer_bytes":-1}`, `{"answer_bytes":99999999}`, `{"used":{"slots":-1}}`, `[`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		plan := worker.SpecRunner{}.Plan(worker.Task{Body: body})
		if plan.RunTime < 0 || len(plan.Answer) > 1<<20 {
			t.Fatalf("runs %v with an answer of %d bytes", plan.RunTime, len(plan.Answer))
		}
	})
}
