// Package termination decides, from what an owner has observed of a worker, whether runs on
// it are certainly over.
//
// Load pattern: workers are cut off from the owner, from the store or from both, drain, leave
// and crash, while the owner itself may be replaced. A run that is given up is started on
// another worker, so that a premature verdict makes a task run twice. A cut refuses or resets
// connections, leaves calls without an answer and lets entries of the worker list expire, all
// while the worker runs on under its lease; so none of these proves anything, alone or
// together. What does is the worker's own lists, another process at its address, or the end
// of every lease that it may have been granted.
package termination
