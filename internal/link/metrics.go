package link

import (
	"coltsfootmux/internal/metric"
)

var (
	sentBytes = metric.NewCounterVec("coltsfootmux_link_sent_bytes_total", "bytes", "kind",
		"Bytes of frames sent, by kind of call.")
	sentCrossRegionBytes = metric.NewCounterVec("coltsfootmux_link_sent_cross_region_bytes_total", "bytes", "kind",
		"Bytes of frames sent to another region, by kind of call.")
	receivedBytes = metric.NewCounterVec("coltsfootmux_link_received_bytes_total", "bytes", "kind",
		"Bytes of frames received, by kind of call.")
	receivedCrossRegionBytes = metric.NewCounterVec("coltsfootmux_link_received_cross_region_bytes_total", "bytes", "kind",
		"Bytes of frames received from another region, by kind of call.")
	faultyLinks = metric.NewCounter("coltsfootmux_link_condemned_total", "links",
		"Links closed because the peer was silent or a message was corrupt.")
	dialFailures = metric.NewCounter("coltsfootmux_link_dial_failures_total", "dials",
		"Dials that failed.")
	memoryDenials = metric.NewCounter("coltsfootmux_link_memory_denied_total", "claims",
		"Claims of calls on links for memory that were denied.")
	evictedLinks = metric.NewCounter("coltsfootmux_link_evicted_total", "links",
		"Links closed because others needed the memory that they held without progress.")
)
