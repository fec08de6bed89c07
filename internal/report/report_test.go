package report

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

func sampleRecording() *Recording {
	return &Recording{
		Title: "a <run>", Seed: 7,
		Kinds:   []Kind{{Kind: "reservation", Sent: 2, Done: 2, P50: time.Millisecond, P99: 3 * time.Millisecond, Doubled: 1}},
		Answers: []Answer{{Kind: "reservation", Latency: time.Millisecond, Outcome: model.OutcomeDone}, {Kind: "reservation", At: time.Second, Latency: 3 * time.Millisecond, Outcome: model.OutcomeDone}},
		Samples: []Sample{
			{Accounts: []Account{{ID: "orders", Guaranteed: 8, Used: 2, Lent: 1}}},
			{At: time.Second, Used: 0.5, Fragmentation: 0.25, Accounts: []Account{{ID: "orders", Guaranteed: 8, Used: 4}}},
		},
		Traffic: []Traffic{{Kind: "submit", Bytes: 3000, CrossRegion: 1000}},
		Marks:   []Mark{{At: time.Second, Text: "killed host3"}},
	}
}

func TestPageIsCompleteAndSelfContained(t *testing.T) {
	var b bytes.Buffer
	if err := sampleRecording().WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	html := b.String()
	for _, want := range []string{"a &lt;run&gt;", "killed host3", "reservation", `class="bad">1<`} {
		if !strings.Contains(html, want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	if n := strings.Count(html, "<svg"); n != len(chartFuncs()) {
		t.Errorf("%d charts, want %d", n, len(chartFuncs()))
	}
	for _, not := range []string{"<script", "src=", "href=\"http"} {
		if strings.Contains(html, not) {
			t.Errorf("page refers to something outside: %q", not)
		}
	}
}

func TestEmptyRecordingGivesPage(t *testing.T) {
	var b bytes.Buffer
	if err := (&Recording{}).WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
}

func TestRecordingIsReadBackAsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.json")
	if err := sampleRecording().Write(path); err != nil {
		t.Fatal(err)
	}
	got, err := Read(path)
	if err != nil || got.Kinds[0] != sampleRecording().Kinds[0] || len(got.Samples) != 2 {
		t.Fatalf("got %+v, %v", got, err)
	}
	if err := os.WriteFile(path, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); !errors.Is(err, ErrRecording) {
		t.Fatalf("got %v", err)
	}
}
