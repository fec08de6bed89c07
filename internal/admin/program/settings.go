package program

import (
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/process"
)

const (
	flagAPIListen = "api-listen"
	flagTLSCert   = "tls-cert"
	flagTLSKey    = "tls-key"
	flagTokens    = "tokens"
	flagRetention = "log-retention"
	flagKeep      = "audit-keep"
)

// maxKeep bounds the audit entries held in memory.
const maxKeep = 1_000_000

// Settings are the administration program's own settings, from flags and environment.
type Settings struct {
	Node node.Settings
	// APIListen is where operators' calls are taken; empty for the node's listener.
	APIListen string
	// TLSCert and TLSKey are PEM files; empty for plain HTTP.
	TLSCert string
	TLSKey  string
	// Tokens is the tokens file; empty to trust every caller.
	Tokens string
	// Retention is how long the platform's log keeps records.
	Retention time.Duration
	// Keep is the most audit entries held.
	Keep int
}

// Flags gives the flags of Settings.
func Flags() []cli.Flag {
	text := func(name, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: process.Env(name)}
	}
	return append(
		node.Flags(),
		text(flagAPIListen, "IP address and port for operators; needed with TLS (default: that of --listen)"),
		text(flagTLSCert, "PEM file of the certificate that operators are shown; read again when it changes"),
		text(flagTLSKey, "PEM file of the certificate's key"),
		text(flagTokens, "YAML file of bearer tokens; read again when it changes (default: every caller is trusted)"),
		&cli.DurationFlag{
			Name: flagRetention, Value: audit.DefaultRetention, Sources: process.Env(flagRetention),
			Usage: "how long the platform's log keeps records",
		},
		&cli.IntFlag{
			Name: flagKeep, Value: audit.DefaultKeep, Sources: process.Env(flagKeep),
			Usage: "most audit entries kept; older ones go",
		},
	)
}

// FromCommand reads and checks the settings of a command. The error is a
// *process.SettingError.
func FromCommand(cmd *cli.Command) (Settings, error) {
	n, err := node.FromCommand(cmd)
	s := Settings{
		Node: n, APIListen: cmd.String(flagAPIListen),
		TLSCert: cmd.String(flagTLSCert), TLSKey: cmd.String(flagTLSKey), Tokens: cmd.String(flagTokens),
		Retention: cmd.Duration(flagRetention), Keep: cmd.Int(flagKeep),
	}
	if err != nil {
		return s, err
	}
	return s, s.check()
}

// check finds the first wrong setting.
func (s *Settings) check() error {
	switch {
	case s.APIListen != "" && !isAddr(s.APIListen):
		return wrong(flagAPIListen, s.APIListen, "an IP address and a port, such as 127.0.0.1:7444")
	case s.TLSCert != "" && s.TLSKey == "":
		return wrong(flagTLSKey, s.TLSKey, "the key file of --tls-cert")
	case s.TLSKey != "" && s.TLSCert == "":
		return wrong(flagTLSCert, s.TLSCert, "the certificate file of --tls-key")
	case s.TLSCert != "" && s.APIListen == "":
		return wrong(flagAPIListen, s.APIListen, "an address of its own for operators with --tls-cert")
	case s.Retention < time.Minute:
		return wrong(flagRetention, s.Retention, "a time of at least 1m")
	case s.Keep < 1 || s.Keep > maxKeep:
		return wrong(flagKeep, s.Keep, "a number from 1 to 1000000")
	}
	return nil
}

func isAddr(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil
}

func wrong(flag string, value any, allowed string) error {
	return &process.SettingError{Flag: flag, Value: value, Allowed: allowed}
}
