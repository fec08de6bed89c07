package program

import (
	"time"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/node/api"
	"coltsfootmux/internal/process"
)

const (
	flagRetention = "log-retention"
	flagAuditKeep = "audit-keep"
)

// maxAuditEntries is the highest allowed value of Settings.MaxAuditEntries, as the
// entries are kept in memory.
const maxAuditEntries = 1_000_000

// Settings holds the administration program's settings, from flags and environment.
type Settings struct {
	Node node.Settings
	// API holds the listener and the authentication of the API.
	API api.Settings
	// Retention is how long the platform's log keeps records.
	Retention time.Duration
	// MaxAuditEntries is the most audit entries kept in memory.
	MaxAuditEntries int
}

// Flags returns the flags of Settings.
func Flags() []cli.Flag {
	return append(
		append(node.Flags(), api.Flags("operators")...),
		&cli.DurationFlag{
			Name: flagRetention, Value: audit.DefaultRetention, Sources: process.Env(flagRetention),
			Usage: "how long the platform's log keeps records",
		},
		&cli.IntFlag{
			Name: flagAuditKeep, Value: audit.DefaultMaxEntries, Sources: process.Env(flagAuditKeep),
			Usage: "most audit entries kept; the oldest are removed first",
		},
	)
}

// FromCommand reads and checks the settings of a command. The error is a
// *process.SettingError.
func FromCommand(cmd *cli.Command) (Settings, error) {
	n, err := node.FromCommand(cmd)
	s := Settings{
		Node: n, API: api.FromCommand(cmd),
		Retention: cmd.Duration(flagRetention), MaxAuditEntries: cmd.Int(flagAuditKeep),
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
	switch {
	case s.Retention < time.Minute:
		return invalidSetting(flagRetention, s.Retention, "a time of at least 1m")
	case s.MaxAuditEntries < 1 || s.MaxAuditEntries > maxAuditEntries:
		return invalidSetting(flagAuditKeep, s.MaxAuditEntries, "a number from 1 to 1000000")
	}
	return nil
}

func invalidSetting(flag string, value any, allowed string) error {
	return &process.SettingError{Flag: flag, Value: value, Allowed: allowed}
}
