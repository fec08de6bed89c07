package program

import (
	"errors"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/node/api"
	"coltsfootmux/internal/process"
)

func TestEachInvalidSettingIsNamed(t *testing.T) {
	cases := map[string]struct {
		edit func(*Settings)
		flag string
	}{
		"valid settings":                    {func(*Settings) {}, ""},
		"an address without a port":         {func(s *Settings) { s.API.Listen = "127.0.0.1" }, api.FlagListen},
		"an address with a host name":       {func(s *Settings) { s.API.Listen = "localhost:1" }, api.FlagListen},
		"a certificate without its key":     {func(s *Settings) { s.API.TLSCert = "a" }, api.FlagTLSKey},
		"a key without its certificate":     {func(s *Settings) { s.API.TLSKey = "a" }, api.FlagTLSCert},
		"TLS without a listener of its own": {func(s *Settings) { s.API.TLSCert, s.API.TLSKey = "a", "b" }, api.FlagListen},
		"a log retention of one second":     {func(s *Settings) { s.Retention = time.Second }, flagRetention},
		"no audit entries kept":             {func(s *Settings) { s.MaxAuditEntries = 0 }, flagAuditKeep},
		"too many audit entries kept":       {func(s *Settings) { s.MaxAuditEntries = maxAuditEntries + 1 }, flagAuditKeep},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := Settings{Retention: time.Hour, MaxAuditEntries: 10}
			c.edit(&s)
			err := s.check()
			if c.flag == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if !errors.Is(err, process.ErrSetting) || !strings.HasPrefix(err.Error(), "--"+c.flag+":") {
				t.Errorf("got %v, want it about --%s", err, c.flag)
			}
		})
	}
}
