// Command coltsfootmux-scheduler owns cells and key groups, places work in them
// and drives workers under leases.
package main

import (
	"coltsfootmux/internal/process"
	"coltsfootmux/internal/scheduler/program"
)

func main() { process.Main(program.Command()) }
