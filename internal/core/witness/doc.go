// Package witness decides what an instance tells others as a witness of a term, which is how
// keeping a term without the store and claiming the next one exclude each other.
//
// Load pattern: a partition leaves the owner with some peers and workers but without the
// store, which serves the other side. Whoever asks only the peers that it reaches can't
// tell this from an outage of the store. So the term record names a few instances as witnesses:
// an owner keeps its term without the store only while enough of them promise not to consent
// to a claim, and a claim needs the consent of so many that one of them would have promised.
// Nothing of this is stored; a witness that restarts is no witness any more.
package witness
