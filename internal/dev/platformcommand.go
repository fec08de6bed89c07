package dev

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
)

const (
	flagLogListen   = "log-listen"
	flagHostsListen = "hosts-listen"
	flagRacks       = "racks"
	flagKeyGroups   = "key-groups"
	// maxRacksPerDataCentre limits the number of listeners in one process, as every
	// worker has its own.
	maxRacksPerDataCentre = 64
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run only the platform's stand-ins, with an initial configuration in the log, until a signal arrives",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagLogListen, Value: anyPort, Usage: "IP address and port of the log service"},
			&cli.StringFlag{Name: flagHostsListen, Value: anyPort, Usage: "IP address and port of the host list"},
			&cli.IntFlag{Name: flagRacks, Value: defaultRacks, Usage: "number of racks, of eight workers each, in each of the three data centres"},
			&cli.IntFlag{Name: flagKeyGroups, Value: defaultKeyGroups, Usage: "number of groups that the key space is divided into"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	logger, err := process.Logger(cmd, cmd.Root().ErrWriter)
	if err != nil {
		return err
	}
	for _, name := range []string{flagLogListen, flagHostsListen} {
		host, _, err := net.SplitHostPort(cmd.String(name))
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return &process.SettingError{Flag: name, Value: cmd.String(name), Allowed: "a loopback IP address and a port"}
		}
	}
	s := DefaultSize()
	if s.KeyGroups = cmd.Int(flagKeyGroups); s.KeyGroups < 1 {
		return &process.SettingError{Flag: flagKeyGroups, Value: s.KeyGroups, Allowed: "a number above 0"}
	}
	racks := cmd.Int(flagRacks)
	if racks < 1 || racks > maxRacksPerDataCentre {
		return &process.SettingError{Flag: flagRacks, Value: racks, Allowed: fmt.Sprintf("a number from 1 to %d", maxRacksPerDataCentre)}
	}
	for i := range s.Places {
		s.Places[i].Racks = racks
	}
	p, err := startPlatform(s, cmd.String(flagLogListen), cmd.String(flagHostsListen), logger)
	if err != nil {
		return err
	}
	defer p.Stop()
	if err := p.publish(ctx, s); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cmd.Root().Writer, "log service  %s\nhost list    %s\n", p.LogURL, p.HostsURL)
	<-ctx.Done()
	return nil
}
