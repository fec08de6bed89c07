package httpcall

import (
	"errors"
	"testing"

	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
)

// FuzzDecode feeds answers of every kind what some server may send.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{}`, `null`, `[]`, `{"held":[{"echo":1}]}`, `{"ending":{"answer":"AA==","sum":1}}`, `{"entries":[{"offset":1}]}`,
		`{"code":"stale_epoch","status":409}`, `{"leases":[{"label":{"members":-1}}],"since":1e400}`, "\x00", `{"hosts":`,
	} {
		f.Add(200, []byte(s))
		f.Add(409, []byte(s))
		f.Add(500, []byte(s))
	}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		for _, out := range []any{
			&platform.Fenced{}, &platform.Report{}, &platform.Released{}, &platform.Listing{}, &platform.Bounds{},
			&protocol.HoldAnswer{}, &protocol.WaitAnswer{}, &protocol.AppendAnswer{}, &protocol.ReadAnswer{}, &protocol.HostsAnswer{},
		} {
			err := decode(status, body, out)
			if status != 200 && err == nil {
				t.Fatalf("status %d became a success", status)
			}
			if status == 200 && err != nil && !errors.Is(err, platform.ErrUnclear) {
				t.Fatalf("a success that was not understood proves %v", err)
			}
		}
	})
}
