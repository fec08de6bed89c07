package link

import "github.com/VictoriaMetrics/metrics"

// slotMetric holds the metrics of one kind, looked up once.
type slotMetric struct {
	sent, sentCross, received, receivedCross *metrics.Counter
}

var slotMetrics = newSlotMetrics()

func newSlotMetrics() (out [kindSlots]slotMetric) {
	for slot := range out {
		name := slotName(slot)
		out[slot] = slotMetric{
			sent: sentBytes.With(name), sentCross: sentCrossBytes.With(name),
			received: receivedBytes.With(name), receivedCross: receivedCrossBytes.With(name),
		}
	}
	return out
}
