package program

import (
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/node"
	"coltsfootmux/internal/node/api"
	"coltsfootmux/internal/process"
)

const (
	flagOpenRequests = "open-requests"
	flagHeldMB       = "held-mb"
)

const (
	defaultOpenRequests = 4096
	largestOpenRequests = 1 << 20
	defaultHeldMB       = 256
	largestHeldMB       = 1 << 20
	bytesPerMB          = 1 << 20
)

// Settings are the entry program's own settings, from flags and environment.
type Settings struct {
	Node node.Settings
	// API sets the API's listener and who may call it.
	API api.Settings
	// MaxOpenRequests is the maximum number of open requests, MaxHeldMB that of the
	// total size of their bodies in MiB.
	MaxOpenRequests int
	MaxHeldMB       int
}

// Flags returns the flags of Settings.
func Flags() []cli.Flag {
	number := func(name string, value int, usage string) cli.Flag {
		return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: process.Env(name)}
	}
	return append(
		append(node.Flags(), api.Flags("callers")...),
		number(flagOpenRequests, defaultOpenRequests, "maximum number of open requests"),
		number(flagHeldMB, defaultHeldMB, "maximum total size of the open requests' bodies in MiB"),
	)
}

// FromCommand returns the settings of a command. The error is a
// *process.SettingError for the first invalid one.
func FromCommand(cmd *cli.Command) (Settings, error) {
	n, err := node.FromCommand(cmd)
	s := Settings{
		Node: n, API: api.FromCommand(cmd),
		MaxOpenRequests: cmd.Int(flagOpenRequests), MaxHeldMB: cmd.Int(flagHeldMB),
	}
	if err != nil {
		return s, err
	}
	return s, s.check()
}

// check returns an error for the first invalid setting.
func (s *Settings) check() error {
	if err := s.API.Check(); err != nil {
		return err
	}
	if s.MaxOpenRequests < 1 || s.MaxOpenRequests > largestOpenRequests {
		return settingError(flagOpenRequests, s.MaxOpenRequests, "a number from 1 to 1048576")
	}
	if s.MaxHeldMB < 1 || s.MaxHeldMB > largestHeldMB {
		return settingError(flagHeldMB, s.MaxHeldMB, "a number of MiB from 1 to 1048576")
	}
	return nil
}

func settingError(flag string, value any, allowed string) error {
	return &process.SettingError{Flag: flag, Value: value, Allowed: allowed}
}
