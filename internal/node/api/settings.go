// Package api holds what programs with an HTTP API for external callers have in
// common: an optional separate listener, TLS, and bearer tokens.
package api

import (
	"net"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
)

// Names of the flags that fill Settings.
const (
	FlagListen  = "api-listen"
	FlagTLSCert = "tls-cert"
	FlagTLSKey  = "tls-key"
	FlagTokens  = "tokens"
)

// Settings are the listener, TLS and authentication settings of an API.
type Settings struct {
	// Listen is the IP address and port of the API's own listener; empty to use the
	// node's listener.
	Listen string
	// TLSCert and TLSKey are paths of PEM files; empty for plain HTTP.
	TLSCert string
	TLSKey  string
	// Tokens is the path of the tokens file; empty to trust every caller.
	Tokens string
}

// Flags returns the flags that fill Settings. audience names the API's callers in the
// flags' help texts.
func Flags(audience string) []cli.Flag {
	stringFlag := func(name, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: process.Env(name)}
	}
	return []cli.Flag{
		stringFlag(FlagListen, "IP address and port for "+audience+"; required with TLS (default: that of --listen)"),
		stringFlag(FlagTLSCert, "PEM file of the certificate that is presented to "+audience+"; reloaded when it changes"),
		stringFlag(FlagTLSKey, "PEM file of the certificate's key"),
		stringFlag(FlagTokens, "YAML file of bearer tokens; reloaded when it changes (default: every caller is trusted)"),
	}
}

// FromCommand returns the settings given by cmd's flags, without checking them.
func FromCommand(cmd *cli.Command) Settings {
	return Settings{
		Listen: cmd.String(FlagListen), TLSCert: cmd.String(FlagTLSCert),
		TLSKey: cmd.String(FlagTLSKey), Tokens: cmd.String(FlagTokens),
	}
}

// Check reports the first invalid setting. The error is a *process.SettingError.
func (s *Settings) Check() error {
	switch {
	case s.Listen != "" && !isIPAndPort(s.Listen):
		return settingError(FlagListen, s.Listen, "an IP address and a port, such as 127.0.0.1:7443")
	case s.TLSCert != "" && s.TLSKey == "":
		return settingError(FlagTLSKey, s.TLSKey, "the key file of --tls-cert")
	case s.TLSKey != "" && s.TLSCert == "":
		return settingError(FlagTLSCert, s.TLSCert, "the certificate file of --tls-key")
	case s.TLSCert != "" && s.Listen == "":
		return settingError(FlagListen, s.Listen, "an address of its own with --tls-cert")
	}
	return nil
}

func isIPAndPort(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host) != nil
}

func settingError(flag string, value any, allowed string) error {
	return &process.SettingError{Flag: flag, Value: value, Allowed: allowed}
}
