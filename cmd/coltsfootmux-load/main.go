// Command coltsfootmux-load generates load, compares placement policies, measures
// the latency of the request path, breaks down the score lost in a benchmark run,
// and writes reports.
package main

import (
	"coltsfootmux/internal/load/program"
	"coltsfootmux/internal/process"
	"coltsfootmux/platform/losses"
)

func main() {
	c := program.Command()
	c.Commands = append(c.Commands, losses.Command())
	process.Main(c)
}
