package entry

import (
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// fuzzConfig returns a configuration with one worker and one account.
func fuzzConfig() *activeConfig {
	d := &config.Document{
		Fleet: config.Fleet{Cells: []model.Cell{{ID: "c", DataCentre: "d", Workers: []model.Worker{
			{ID: "w", Capacity: model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 1000, MemoryMB: 1000}},
		}}}},
		Defaults: config.Defaults{BodyLimitBytes: 1000, CallerSkew: config.Duration(time.Second)},
		Accounts: []config.Account{{Name: "farms"}},
	}
	return &activeConfig{doc: d, capacity: newFleetCapacity(&d.Fleet)}
}

// FuzzSubmission decodes and checks any bytes as a job. Accepted work must fit
// into the fleet.
func FuzzSubmission(f *testing.F) {
	for _, s := range []string{
		`{"key":"k","account":"farms","kind":"x"}`,
		`{"key":"k","account":"farms","kind":"x","members":8,"adjacency":"rack","shape":{"slots":1},"timeout":"3s","class":"urgent"}`,
		`{"key":"k","account":"farms","kind":"x","idempotent":true,"preemptible":true,"body":{"a":[1,2]}}`,
		`{"key":"k","account":"farms","kind":"x","body_base64":"AAEC","deadline":"2026-01-02T03:04:05Z"}`,
		`{"shape":{"slots":-1}}`, `{"members":9223372036854775807}`, `{"shape":{"slots":9223372036854775807}}`,
		`[`, `{}`, `null`, `{"body":`, `{"key":"k"} x`, `{"timeout":"9999999h"}`, `{"deadline":"9999-12-31T23:59:59Z"}`,
	} {
		f.Add([]byte(s))
	}
	conf := fuzzConfig()
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var b JobBody
		if err := decodeJSON(raw, &b); err != nil {
			asProblem(err)
			return
		}
		key, p := keyOf("", b.Key)
		if p != nil {
			return
		}
		c := checker{now: now, conf: conf}
		w, p := c.buildWork(&b, key, true)
		if p != nil {
			if p.Status < 400 || p.Status > 499 || p.Code == "" || p.Detail == "" {
				t.Fatalf("rejected with %+v", p)
			}
			return
		}
		total := w.Total()
		if w.Members < 1 || w.Shape.Negative() || w.Shape.IsZero() || total.Negative() || !total.Fits(conf.doc.Fleet.Cells[0].Workers[0].Capacity) {
			t.Fatalf("accepted %+v", w)
		}
		if len(w.Body) > conf.doc.Defaults.BodyLimitBytes || !w.Deadline.After(now) || w.Account != "farms" {
			t.Fatalf("accepted %+v", w)
		}
	})
}
