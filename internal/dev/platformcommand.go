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
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run only the platform's stand-ins, with a first configuration on the log, until a signal",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagLogListen, Value: anyPort, Usage: "IP address and port of the log service"},
			&cli.StringFlag{Name: flagHostsListen, Value: anyPort, Usage: "IP address and port of the host list"},
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
