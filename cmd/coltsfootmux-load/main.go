// Command coltsfootmux-load sends load, compares placement policies, measures the
// path, says where the worth of a day on the bench went and writes reports.
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
