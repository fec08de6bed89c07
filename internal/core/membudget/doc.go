// Package membudget decides who may hold memory when it is short. It bounds what all holders
// hold together, keeps a reserve for small ones, and evicts the holder that has held most for
// longest without progress if others need its memory. It does no input or output.
package membudget
