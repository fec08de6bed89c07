// Command coltsfootmux-load sends load, compares placement policies, measures the
// path and writes reports.
package main

import (
	"coltsfootmux/internal/load/program"
	"coltsfootmux/internal/process"
)

func main() { process.Main(program.Command()) }
