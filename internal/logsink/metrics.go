package logsink

import "coltsfootmux/internal/metric"

var (
	linesDropped = metric.NewCounter("coltsfootmux_log_lines_dropped_total", "lines",
		"log lines dropped because the output was not read fast enough")
	linesLeftOut = metric.NewCounter("coltsfootmux_log_lines_left_out_total", "lines",
		"log lines left out because their event exceeded its rate limit")
)
