package link

import "github.com/VictoriaMetrics/metrics"

// kindMetrics holds the counters of one slot, so that they are looked up only once.
type kindMetrics struct {
	sent, sentCrossRegion, received, receivedCrossRegion *metrics.Counter
}

var metricsBySlot = newMetricsBySlot()

func newMetricsBySlot() (out [kindSlots]kindMetrics) {
	for slot := range out {
		name := slotName(slot)
		out[slot] = kindMetrics{
			sent: sentBytes.With(name), sentCrossRegion: sentCrossRegionBytes.With(name),
			received: receivedBytes.With(name), receivedCrossRegion: receivedCrossRegionBytes.With(name),
		}
	}
	return out
}
