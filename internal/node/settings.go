package node

import (
	"net"
	"net/url"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/process"
)

// Settings are a program's settings, read from flags and environment variables.
type Settings struct {
	HostID     model.HostID
	DataCentre model.DataCentre
	Region     model.Region
	// Listen is the IP address and port to listen on; port 0 picks a free port.
	Listen string
	// Advertise is the address at which other programs reach this one; empty for the
	// address listened on.
	Advertise string
	LogURL    string
	HostsURL  string
	// DrainTimeout is the maximum duration of a graceful shutdown.
	DrainTimeout time.Duration
}

// Check reports the first invalid setting. The error is a *process.SettingError.
func (s *Settings) Check() error {
	required := []struct{ flag, value string }{
		{flagHostID, string(s.HostID)},
		{flagDataCentre, string(s.DataCentre)},
		{flagRegion, string(s.Region)},
	}
	for _, r := range required {
		if r.value == "" {
			return &process.SettingError{Flag: r.flag, Value: r.value, Allowed: "a name"}
		}
	}
	if err := checkAddr(flagListen, s.Listen); err != nil {
		return err
	}
	if s.Advertise != "" {
		if err := checkAddr(flagAdvertise, s.Advertise); err != nil {
			return err
		}
	}
	if err := checkURL(flagLogURL, s.LogURL); err != nil {
		return err
	}
	if err := checkURL(flagHostsURL, s.HostsURL); err != nil {
		return err
	}
	if s.DrainTimeout <= 0 {
		return &process.SettingError{Flag: flagDrainTimeout, Value: s.DrainTimeout, Allowed: "a duration above 0"}
	}
	return nil
}

func checkAddr(flag, addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return &process.SettingError{Flag: flag, Value: addr, Allowed: "an IP address and a port, such as 127.0.0.1:7100"}
	}
	return nil
}

func checkURL(flag, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &process.SettingError{Flag: flag, Value: text, Allowed: "an http or https URL"}
	}
	return nil
}
