package program

import (
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/node"
	"coltsfootmux/internal/node/api"
	"coltsfootmux/internal/process"
)

const (
	flagOpen   = "open-requests"
	flagHeldMB = "held-mb"
)

const (
	defaultOpen   = 4096
	maxOpen       = 1 << 20
	defaultHeldMB = 256
	maxHeldMB     = 1 << 20
	bytesPerMB    = 1 << 20
)

// Settings are the entry program's own settings, from flags and environment.
type Settings struct {
	Node node.Settings
	// API says where and to whom the API is open.
	API api.Settings
	// Open is the most requests held at once, HeldMB the most MiB of their bodies.
	Open   int
	HeldMB int
}

// Flags gives the flags of Settings.
func Flags() []cli.Flag {
	number := func(name string, value int, usage string) cli.Flag {
		return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: process.Env(name)}
	}
	return append(
		append(node.Flags(), api.Flags("callers")...),
		number(flagOpen, defaultOpen, "most requests held at once"),
		number(flagHeldMB, defaultHeldMB, "most MiB of request bodies held at once"),
	)
}

// FromCommand reads and checks the settings of a command. The error is a
// *process.SettingError.
func FromCommand(cmd *cli.Command) (Settings, error) {
	n, err := node.FromCommand(cmd)
	s := Settings{
		Node: n, API: api.FromCommand(cmd),
		Open: cmd.Int(flagOpen), HeldMB: cmd.Int(flagHeldMB),
	}
	if err != nil {
		return s, err
	}
	return s, s.check()
}

// check finds the first wrong setting.
func (s *Settings) check() error {
	if err := s.API.Check(); err != nil {
		return err
	}
	if s.Open < 1 || s.Open > maxOpen {
		return wrong(flagOpen, s.Open, "a number from 1 to 1048576")
	}
	if s.HeldMB < 1 || s.HeldMB > maxHeldMB {
		return wrong(flagHeldMB, s.HeldMB, "a number of MiB from 1 to 1048576")
	}
	return nil
}

func wrong(flag string, value any, allowed string) error {
	return &process.SettingError{Flag: flag, Value: value, Allowed: allowed}
}
