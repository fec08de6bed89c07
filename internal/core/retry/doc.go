// Package retry decides on which workers a task whose run has failed may be tried again,
// and how long it waits for them.
//
// Load pattern: some workers of a pool, say a tenth, fail every task that is started
// there while they report good health. The first failure identifies a worker, but a task
// that is started again at once may get the next such worker. Of a job with 180 tasks,
// one then uses up three tries in half a second. During such a burst of failures, a task
// that has failed is therefore started only on proven workers: those on which a run
// started since the beginning of the burst has made progress.
package retry
