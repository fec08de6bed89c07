// Command coltsfootmuxctl is the command line for operators. It shows and changes
// the configuration, drains workers, cells and data centres, and shows the state of
// the system.
package main

import (
	"coltsfootmux/internal/ctl"
	"coltsfootmux/internal/process"
)

func main() { process.Main(ctl.Command()) }
