package program_test

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"coltsfootmux/internal/entry/program"
	"coltsfootmux/internal/process"
)

// validArgs returns arguments with which the program would start.
func validArgs() []string {
	return []string{
		"entry", "--host-id=e1", "--data-centre=dc", "--region=r",
		"--log-url=http://127.0.0.1:1", "--hosts-url=http://127.0.0.1:1",
	}
}

func TestInvalidSettingsAreReportedInOneLineWithTheirFlag(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		flag string
	}{
		"a host name where an IP address belongs": {[]string{"--api-listen=localhost:80"}, "api-listen"},
		"a certificate without a key":             {[]string{"--tls-cert=a"}, "tls-key"},
		"a key without a certificate":             {[]string{"--tls-key=a"}, "tls-cert"},
		"TLS on the node's own listener":          {[]string{"--tls-cert=a", "--tls-key=b"}, "api-listen"},
		"a missing certificate file":              {[]string{"--tls-cert=a", "--tls-key=b", "--api-listen=127.0.0.1:0"}, "tls-cert"},
		"a missing tokens file":                   {[]string{"--tokens=/nonexistent"}, "tokens"},
		"a tokens file without tokens":            {[]string{"--tokens=" + empty}, "tokens"},
		"no open requests":                        {[]string{"--open-requests=0"}, "open-requests"},
		"negative memory":                         {[]string{"--held-mb=-1"}, "held-mb"},
		"an invalid log URL":                      {[]string{"--log-url=nowhere"}, "log-url"},
		"no time to drain":                        {[]string{"--drain-timeout=0s"}, "drain-timeout"},
		"an unknown log level":                    {[]string{"--log-level=loud"}, "log-level"},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := program.Command()
			cmd.Flags = append(cmd.Flags, process.LogFlags()...)
			cmd.Writer, cmd.ErrWriter = io.Discard, io.Discard
			err := cmd.Run(context.Background(), append(validArgs(), c.args...))
			var settingErr *process.SettingError
			if !errors.As(err, &settingErr) || settingErr.Flag != c.flag {
				t.Fatalf("got %v, want an error for --%s", err, c.flag)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("more than one line: %q", err.Error())
			}
		})
	}
}
