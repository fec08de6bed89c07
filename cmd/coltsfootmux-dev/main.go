// Command coltsfootmux-dev runs a small but complete deployment in one process.
package main

import (
	"coltsfootmux/internal/dev"
	"coltsfootmux/internal/process"
)

func main() { process.Main(dev.Command()) }
