package entry

import "coltsfootmux/internal/metric"

var (
	requests = metric.NewCounterVec("coltsfootmux_entry_answers_total", "answers", "outcome",
		"Answers to requests and jobs, by outcome; refused for bad input and limits.")
	durations = metric.NewHistogramVec("coltsfootmux_entry_answer_seconds", "seconds", "outcome",
		"Time from a request's arrival to its answer, by outcome.")
	asks = metric.NewCounterVec("coltsfootmux_entry_asks_total", "calls", "result",
		"Calls to schedulers, by what they brought.")
	openRequests = metric.NewCounter("coltsfootmux_entry_opened_total", "requests",
		"Requests and jobs taken in.")
)
