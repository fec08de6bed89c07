package program

import (
	"time"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
	"coltsfootmux/internal/scheduler"
)

const (
	flagRetention  = "log-retention"
	leastRetention = time.Minute
)

func retentionFlag() cli.Flag {
	return &cli.DurationFlag{
		Name: flagRetention, Value: scheduler.DefaultTiming().LogRetention, Sources: process.Env(flagRetention),
		Usage: "how long the platform's log keeps records, such as 1h",
	}
}

// retention reads and checks the flag. The error is a *process.SettingError.
func retention(cmd *cli.Command) (time.Duration, error) {
	d := cmd.Duration(flagRetention)
	if d < leastRetention {
		return 0, &process.SettingError{Flag: flagRetention, Value: d, Allowed: "a duration of at least 1m"}
	}
	return d, nil
}
