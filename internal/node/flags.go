package node

import (
	"time"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/process"
)

const (
	flagHostID       = "host-id"
	flagDataCentre   = "data-centre"
	flagRegion       = "region"
	flagListen       = "listen"
	flagAdvertise    = "advertise"
	flagLogURL       = "log-url"
	flagHostsURL     = "hosts-url"
	flagDrainTimeout = "drain-timeout"
)

const defaultDrainTimeout = 30 * time.Second

// Flags gives the flags of Settings.
func Flags() []cli.Flag {
	text := func(name, value, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: process.Env(name)}
	}
	return []cli.Flag{
		text(flagHostID, "", "name of this program's instance in the host list; a new one at each start"),
		text(flagDataCentre, "", "name of the data centre that this host is in"),
		text(flagRegion, "", "name of the region that this host is in"),
		text(flagListen, "127.0.0.1:0", "IP address and port to listen on; port 0 takes a free one"),
		text(flagAdvertise, "", "IP address and port that others reach this program at (default: the one listened on)"),
		text(flagLogURL, "", "URL of the platform's log service"),
		text(flagHostsURL, "", "URL of the platform's host list"),
		&cli.DurationFlag{
			Name: flagDrainTimeout, Value: defaultDrainTimeout, Sources: process.Env(flagDrainTimeout),
			Usage: "longest time that a graceful shutdown may take, such as 30s",
		},
	}
}

// FromCommand reads and checks the settings of a command. The error is a
// *process.SettingError.
func FromCommand(cmd *cli.Command) (Settings, error) {
	s := Settings{
		HostID:       model.HostID(cmd.String(flagHostID)),
		DataCentre:   model.DataCentre(cmd.String(flagDataCentre)),
		Region:       model.Region(cmd.String(flagRegion)),
		Listen:       cmd.String(flagListen),
		Advertise:    cmd.String(flagAdvertise),
		LogURL:       cmd.String(flagLogURL),
		HostsURL:     cmd.String(flagHostsURL),
		DrainTimeout: cmd.Duration(flagDrainTimeout),
	}
	return s, s.Check()
}
