package instance

import (
	"log/slog"
	"runtime/metrics"
	"time"
)

// Names of the runtime's metrics of the collection of garbage.
const (
	heapMetric        = "/memory/classes/heap/objects:bytes"
	memoryLimitMetric = "/gc/gomemlimit:bytes"
	collectionsMetric = "/gc/cycles/total:gc-cycles"
	collectionMetric  = "/cpu/classes/gc/total:cpu-seconds"
)

// memoryReport reads what the process spends on the collection of garbage. A heap near the memory limit is
// collected again and again, which leaves little time for anything else.
type memoryReport struct {
	collections uint64
	collecting  float64
}

// attrs returns the heap, the memory limit, and the collections since the last call.
func (m *memoryReport) attrs() []slog.Attr {
	s := []metrics.Sample{{Name: heapMetric}, {Name: memoryLimitMetric}, {Name: collectionsMetric}, {Name: collectionMetric}}
	metrics.Read(s)
	for n, kind := range []metrics.ValueKind{metrics.KindUint64, metrics.KindUint64, metrics.KindUint64, metrics.KindFloat64} {
		if s[n].Value.Kind() != kind {
			return nil
		}
	}
	collections, collecting := s[2].Value.Uint64(), s[3].Value.Float64()
	out := []slog.Attr{
		slog.Uint64("heap_bytes", s[0].Value.Uint64()), slog.Uint64("memory_limit_bytes", s[1].Value.Uint64()),
		slog.Uint64("collections", collections-m.collections), slog.Duration("in_collections", seconds(collecting-m.collecting).Truncate(time.Millisecond)),
	}
	m.collections, m.collecting = collections, collecting
	return out
}
