// Command coltsfootmux-scheduler owns cells and key groups, places work on their
// workers and controls the workers by leases.
package main

import (
	"coltsfootmux/internal/process"
	"coltsfootmux/internal/scheduler/program"
)

func main() { process.Main(program.Command()) }
