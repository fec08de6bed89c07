// Package scheduler is the shell around the decision cores of one scheduler
// process. It carries events in and actions out: calls to workers, the log
// service and other processes. It decides nothing itself.
//
// One goroutine, the loop, owns the cores. Everything that waits runs in
// goroutines of its own and reports back to the loop with a typed message.
package scheduler
