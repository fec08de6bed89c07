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

// Flags returns the flags that fill Settings.
func Flags() []cli.Flag {
	stringFlag := func(name, value, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: process.Env(name)}
	}
	return []cli.Flag{
		stringFlag(flagHostID, "", "ID of this instance in the host list; must be new at each start"),
		stringFlag(flagDataCentre, "", "name of the data centre that this host is in"),
		stringFlag(flagRegion, "", "name of the region that this host is in"),
		stringFlag(flagListen, "127.0.0.1:0", "IP address and port to listen on; port 0 picks a free port"),
		stringFlag(flagAdvertise, "", "IP address and port at which other programs reach this one (default: the address listened on)"),
		stringFlag(flagLogURL, "", "URL of the platform's log service"),
		stringFlag(flagHostsURL, "", "URL of the platform's host list"),
		&cli.DurationFlag{
			Name: flagDrainTimeout, Value: defaultDrainTimeout, Sources: process.Env(flagDrainTimeout),
			Usage: "longest time that a graceful shutdown may take, such as 30s",
		},
	}
}

// FromCommand returns the settings given by cmd's flags and checks them. The error
// is a *process.SettingError.
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
