// Package predict predicts how long the runs of a queue take.
//
// Load pattern: the callers of a queue estimate run times that are wrong by a factor
// of up to ten, with a spread that differs from queue to queue, while the true run
// times of one queue are alike. Decisions that trust an estimate then give up work
// that is not late, and put long work before short.
//
// The prediction weighs the estimate against the recent run times of the queue, by how
// far either was off lately. Without ended runs it is the estimate itself.
package predict
