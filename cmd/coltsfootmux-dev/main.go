// Command coltsfootmux-dev runs a whole small deployment in one process.
package main

import (
	"coltsfootmux/internal/dev"
	"coltsfootmux/internal/process"
)

func main() { process.Main(dev.Command()) }
