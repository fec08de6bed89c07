// Command coltsfootmux-entry takes callers' requests and jobs, forwards them to
// the schedulers that own their keys, and answers each caller in full.
package main

import (
	"coltsfootmux/internal/entry/program"
	"coltsfootmux/internal/process"
)

func main() { process.Main(program.Command()) }
