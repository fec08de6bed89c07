// Command coltsfootmuxctl is the operators' command line: it shows and changes
// the configuration, drains places, and shows the state of the system.
package main

import (
	"coltsfootmux/internal/ctl"
	"coltsfootmux/internal/process"
)

func main() { process.Main(ctl.Command()) }
