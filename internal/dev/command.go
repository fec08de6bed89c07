package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
)

const (
	defaultDemoTime = 15 * time.Second
	defaultDemoSeed = 1
)

// Command returns the command line of coltsfootmux-dev.
func Command() *cli.Command {
	return &cli.Command{
		Name:     "coltsfootmux-dev",
		Usage:    "run a small but complete deployment in one process on loopback",
		Commands: []*cli.Command{demoCommand(), serveCommand(), platformCommand()},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "send both users' workloads, kill one of the system's own hosts during the run, and check the guarantees",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: defaultDemoTime, Usage: "how long requests are sent, such as 15s"},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor that multiplies the request rates"},
			&cli.Uint64Flag{Name: "seed", Value: defaultDemoSeed, Usage: "seed of the random request times"},
			&cli.StringFlag{Name: "record", Usage: "file to write a recording to, for coltsfootmux-load report"},
			&cli.BoolFlag{Name: "kill", Value: true, Usage: "kill one of the system's own hosts halfway through"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	logger, err := process.Logger(cmd, cmd.Root().ErrWriter)
	if err != nil {
		return err
	}
	if cmd.Duration("for") <= 0 {
		return &process.SettingError{Flag: "for", Value: cmd.Duration("for"), Allowed: "a duration above 0"}
	}
	if cmd.Float("scale") <= 0 {
		return &process.SettingError{Flag: "scale", Value: cmd.Float("scale"), Allowed: "a number above 0"}
	}
	d := &Demo{
		Size: DefaultSize(), LoadTime: cmd.Duration("for"), Scale: cmd.Float("scale"), Seed: cmd.Uint64("seed"),
		KillHost: cmd.Bool("kill"), RecordingPath: cmd.String("record"), Out: cmd.Root().Writer, Logger: logger,
	}
	return d.Run(ctx)
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "run a deployment until a signal arrives, and print its addresses",
		Action: runServe,
	}
}

func runServe(ctx context.Context, cmd *cli.Command) error {
	logger, err := process.Logger(cmd, cmd.Root().ErrWriter)
	if err != nil {
		return err
	}
	c, err := Start(ctx, DefaultSize(), logger)
	if err != nil {
		return err
	}
	defer c.Platform.Stop()
	out := cmd.Root().Writer
	_, _ = fmt.Fprintf(out, "log service  %s\nhost list    %s\n", c.Platform.LogURL, c.Platform.HostsURL)
	for _, h := range c.Hosts {
		_, _ = fmt.Fprintf(out, "%s  callers' API %s  admin API http://%s  scheduler %s\n",
			h.Name, h.URL(), h.Admin.APIAddr(), h.Scheduler.Node.Addr())
	}
	<-ctx.Done()
	for _, h := range c.Hosts {
		h.Stop()
	}
	return nil
}
