// Package blame decides which tasks are to blame for the crash of a worker, and when a task
// is given up for it.
//
// Load pattern: a task crashes each worker that starts it, soon after its start and with all
// that runs there. Started again at once and in company, it takes one worker after the other,
// and the work beside it never ends. Workers also crash for reasons of their own, alone or
// many at once; the tasks on them must then be neither given up nor held back.
//
// The first crash makes suspects of the tasks that had just been started. A suspect is tried
// again on a worker of its own, which clears it or shows that it is to blame.
package blame
