// Package cell makes the decisions of a cell's owner: which task runs on which
// worker, what follows from the runs that a worker lists or from its not
// answering, when a job has ended, and what must be durable before it is shown to
// callers or acknowledged to workers.
//
// It is a deterministic state machine: Step takes an instant and an event and
// returns actions. It uses no clock, socket, goroutine or log of its own.
//
// Two rules keep it safe. A run counts as over only when its worker lists its
// end, promises never to start it, has restarted, or holds a lease that has
// expired for certain; until then the run keeps its resources and its task
// starts nowhere else. An end is acknowledged to its worker, or shown to a
// caller, only after the job's progress is durable.
package cell
