package program

import (
	"net"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/node"
	"coltsfootmux/internal/process"
)

const (
	flagAPIListen = "api-listen"
	flagTLSCert   = "tls-cert"
	flagTLSKey    = "tls-key"
	flagTokens    = "tokens"
	flagOpen      = "open-requests"
	flagHeldMB    = "held-mb"
)

const (
	defaultOpen   = 4096
	maxOpen       = 1 << 20
	defaultHeldMB = 256
	maxHeldMB     = 1 << 20
	bytesPerMB    = 1 << 20
)

// Settings are the entry program's own settings, from flags and environment.
type Settings struct {
	Node node.Settings
	// APIListen is where callers' requests are taken; empty for the node's listener.
	APIListen string
	// TLSCert and TLSKey are PEM files; empty for plain HTTP.
	TLSCert string
	TLSKey  string
	// Tokens is the tokens file; empty to trust every caller.
	Tokens string
	// Open is the most requests held at once, HeldMB the most MiB of their bodies.
	Open   int
	HeldMB int
}

// Flags gives the flags of Settings.
func Flags() []cli.Flag {
	text := func(name, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: process.Env(name)}
	}
	number := func(name string, value int, usage string) cli.Flag {
		return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: process.Env(name)}
	}
	return append(
		node.Flags(),
		text(flagAPIListen, "IP address and port for callers; needed with TLS (default: that of --listen)"),
		text(flagTLSCert, "PEM file of the certificate that callers are shown; read again when it changes"),
		text(flagTLSKey, "PEM file of the certificate's key"),
		text(flagTokens, "YAML file of bearer tokens; read again when it changes (default: every caller is trusted)"),
		number(flagOpen, defaultOpen, "most requests held at once"),
		number(flagHeldMB, defaultHeldMB, "most MiB of request bodies held at once"),
	)
}

// FromCommand reads and checks the settings of a command. The error is a
// *process.SettingError.
func FromCommand(cmd *cli.Command) (Settings, error) {
	n, err := node.FromCommand(cmd)
	s := Settings{
		Node: n, APIListen: cmd.String(flagAPIListen),
		TLSCert: cmd.String(flagTLSCert), TLSKey: cmd.String(flagTLSKey), Tokens: cmd.String(flagTokens),
		Open: cmd.Int(flagOpen), HeldMB: cmd.Int(flagHeldMB),
	}
	if err != nil {
		return s, err
	}
	return s, s.check()
}

// check finds the first wrong setting.
func (s *Settings) check() error {
	if s.APIListen != "" && !isAddr(s.APIListen) {
		return wrong(flagAPIListen, s.APIListen, "an IP address and a port, such as 127.0.0.1:7443")
	}
	if s.TLSCert != "" && s.TLSKey == "" {
		return wrong(flagTLSKey, s.TLSKey, "the key file of --tls-cert")
	}
	if s.TLSKey != "" && s.TLSCert == "" {
		return wrong(flagTLSCert, s.TLSCert, "the certificate file of --tls-key")
	}
	if s.TLSCert != "" && s.APIListen == "" {
		return wrong(flagAPIListen, s.APIListen, "an address of its own for callers with --tls-cert")
	}
	if s.Open < 1 || s.Open > maxOpen {
		return wrong(flagOpen, s.Open, "a number from 1 to 1048576")
	}
	if s.HeldMB < 1 || s.HeldMB > maxHeldMB {
		return wrong(flagHeldMB, s.HeldMB, "a number of MiB from 1 to 1048576")
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
