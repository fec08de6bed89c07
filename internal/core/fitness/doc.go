// Package fitness decides whether the owner of a term reaches so few workers that a peer should
// own the cell in its place.
//
// Load pattern: the store and the peers reach the owner, and the network or its machine keeps it from
// most of its workers, while other instances reach them. Silent workers alone prove nothing, as
// they may be down. So an owner with many of them compares what it reaches with what a few peers
// reach, and gives its term up only to one that clearly reaches more.
package fitness
