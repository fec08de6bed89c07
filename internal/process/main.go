package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// exitSetting is the exit status for an invalid setting.
const exitSetting = 2

// Main runs a command until it returns. SIGINT and SIGTERM end the command's
// context. The process exits with status 2 on an invalid setting, with the status
// of a cli.ExitCoder, and with 1 on any other error.
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
