// Package api holds what programs with an HTTP API for people outside have in
// common: a listener of its own if asked for, TLS, and bearer tokens.
package api

import (
	"net"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
)

// The flags of Settings.
const (
	FlagListen  = "api-listen"
	FlagTLSCert = "tls-cert"
	FlagTLSKey  = "tls-key"
	FlagTokens  = "tokens"
)

// Settings say where and to whom an API is open.
type Settings struct {
	// Listen is the API's own IP address and port; empty for the node's listener.
	Listen string
	// TLSCert and TLSKey are PEM files; empty for plain HTTP.
	TLSCert string
	TLSKey  string
	// Tokens is the tokens file; empty to trust every caller.
	Tokens string
}

// Flags gives the flags of Settings; who names those that the API is for.
func Flags(who string) []cli.Flag {
	text := func(name, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: process.Env(name)}
	}
	return []cli.Flag{
		text(FlagListen, "IP address and port for "+who+"; needed with TLS (default: that of --listen)"),
		text(FlagTLSCert, "PEM file of the certificate that "+who+" are shown; read again when it changes"),
		text(FlagTLSKey, "PEM file of the certificate's key"),
		text(FlagTokens, "YAML file of bearer tokens; read again when it changes (default: every caller is trusted)"),
	}
}

// FromCommand reads the settings of a command without checking them.
func FromCommand(cmd *cli.Command) Settings {
	return Settings{
		Listen: cmd.String(FlagListen), TLSCert: cmd.String(FlagTLSCert),
		TLSKey: cmd.String(FlagTLSKey), Tokens: cmd.String(FlagTokens),
	}
}

// Check finds the first wrong setting. The error is a *process.SettingError.
func (s *Settings) Check() error {
	switch {
	case s.Listen != "" && !isAddr(s.Listen):
		return wrong(FlagListen, s.Listen, "an IP address and a port, such as 127.0.0.1:7443")
	case s.TLSCert != "" && s.TLSKey == "":
		return wrong(FlagTLSKey, s.TLSKey, "the key file of --tls-cert")
	case s.TLSKey != "" && s.TLSCert == "":
		return wrong(FlagTLSCert, s.TLSCert, "the certificate file of --tls-key")
	case s.TLSCert != "" && s.Listen == "":
		return wrong(FlagListen, s.Listen, "an address of its own with --tls-cert")
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
