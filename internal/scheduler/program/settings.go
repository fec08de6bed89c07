package program

import (
	"time"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/node"
	"coltsfootmux/internal/process"
	"coltsfootmux/internal/scheduler"
)

const (
	flagRetention  = "log-retention"
	leastRetention = time.Minute
)

// Settings are the scheduler program's own settings, from flags and environment.
type Settings struct {
	Node   node.Settings
	Timing scheduler.Timing
}

// Flags gives the flags of Settings.
func Flags() []cli.Flag {
	return append(node.Flags(), &cli.DurationFlag{
		Name: flagRetention, Value: scheduler.DefaultTiming().LogRetention, Sources: process.Env(flagRetention),
		Usage: "how long the platform's log keeps records, such as 1h",
	})
}

// FromCommand reads and checks the settings of a command. The error is a
// *process.SettingError.
func FromCommand(cmd *cli.Command) (Settings, error) {
	n, err := node.FromCommand(cmd)
	s := Settings{Node: n, Timing: scheduler.DefaultTiming()}
	if err != nil {
		return s, err
	}
	s.Timing.LogRetention = cmd.Duration(flagRetention)
	if s.Timing.LogRetention < leastRetention {
		return s, &process.SettingError{Flag: flagRetention, Value: s.Timing.LogRetention, Allowed: "a duration of at least 1m"}
	}
	return s, nil
}
