package entry

import "coltsfootmux/internal/metric"

var (
	answers = metric.NewCounterVec("coltsfootmux_entry_answers_total", "answers", "outcome",
		"Answers to requests and jobs, by outcome; refused means rejected before any scheduler was called.")
	answerDurations = metric.NewHistogramVec("coltsfootmux_entry_answer_seconds", "seconds", "outcome",
		"Time from a request's arrival to its answer, by outcome.")
	schedulerCalls = metric.NewCounterVec("coltsfootmux_entry_asks_total", "calls", "result",
		"Calls to schedulers, by result.")
	acceptedRequests = metric.NewCounter("coltsfootmux_entry_opened_total", "requests",
		"Requests and jobs accepted by the entry host.")
)
