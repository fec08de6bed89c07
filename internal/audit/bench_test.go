package audit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/logstore"
)

// typicalEntry returns an entry for a typical change.
func typicalEntry(i int) Entry {
	return Entry{
		ID: fmt.Sprintf("config-%d", i), At: time.Unix(int64(i), 0), Record: "01a23e67-493f-75ed-b59f-17016dbc3ee3",
		Author: "ada", Reason: "auditors run checks all week", Ruling: Accepted, Base: 7, Version: 8,
		Changes: []config.Change{{Path: "exceptions[lab-week]", After: `{"id":"lab-week","reason":"auditors run checks all week","account":"lab","concurrency":50}`}},
	}
}

// BenchmarkEntry reports the bytes of an entry on the log and in memory.
func BenchmarkEntry(b *testing.B) {
	const entries = 5000
	for b.Loop() {
		client := logclient.New(logstore.New(logstore.Options{}).Client("home"), logclient.Options{})
		t := New(Options{Log: client})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		size := 0
		for i := range entries {
			e := typicalEntry(i)
			data, err := encMode.Marshal(&e)
			if err != nil {
				b.Fatal(err)
			}
			size += len(data)
			t.read(b.Context(), platform.Entry{Record: platform.Record{ID: e.ID, Type: TypeEntry, Data: data}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(size)/entries, "log-B/entry")
		b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/entries, "memory-B/entry")
		runtime.KeepAlive(t)
		client.Close()
	}
}
