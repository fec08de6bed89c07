// Package cell decides for the owner of a cell: which task runs on which
// worker, what a worker's lists and silences mean, when a job has ended and
// what has to be durable before anybody is told.
//
// It is a deterministic state machine: Step takes an instant and an event and
// gives actions. It has no clock, socket, goroutine or log.
//
// Two rules carry its safety. A run counts as over only when its worker lists
// its end, bars it, is in another life, or has certainly let its lease lapse;
// until then its room is taken and its task starts nowhere else. And an end is
// acknowledged to its worker, or shown to a caller, only after the job's
// progress is durable.
package cell
