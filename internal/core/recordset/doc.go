// Package recordset decides how what an owner keeps in the store is divided into records and
// appends that the store takes, and what is at fault if the store refuses one of them for good.
//
// Load pattern: most jobs take a few bytes. A job of 20,000 tasks, or of as many open
// occurrences, with checkpoints and failed runs takes more than a record may hold. A new owner
// writes the progress of most jobs at once, which takes more than an append may hold. What the
// store never takes must not keep anything else from being stored.
package recordset
