// Command coltsfootmux-entry accepts requests and jobs from callers, forwards them
// to the schedulers that own their keys, and returns the complete results.
package main

import (
	"coltsfootmux/internal/entry/program"
	"coltsfootmux/internal/process"
)

func main() { process.Main(program.Command()) }
