package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// exitSetting is the exit status for a wrong setting.
const exitSetting = 2

// Main runs a command until it returns or the process is told to stop by
// SIGINT or SIGTERM, which ends the command's context. It exits with 1 on an
// error and with 2 on a wrong setting.
func Main(cmd *cli.Command) {
	cmd.Version = Version()
	cmd.Flags = append(cmd.Flags, LogFlags()...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := cmd.Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name, err)
	os.Exit(exitCode(err))
}
