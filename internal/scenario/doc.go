// Package scenario holds scripted scenarios of failures. Each script in
// testdata states a promise, the fault, and what is counted. The commands that
// scripts use are listed by "go test ./internal/scenario -run TestCommands -v".
//
// Scripts run in virtual time: a script that lets an hour pass takes
// milliseconds, and timeouts fire exactly. Connections are in memory, but carry
// the same HTTP as real ones.
//
// To add commands, add an entry to the table in command_test.go; what commands
// share for one script stands in world_test.go.
package scenario
