package process

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

func TestErrorsAreLoggedInOneLineWithoutTheirStack(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var out bytes.Buffer
		cmd := &cli.Command{Flags: LogFlags(), Action: func(_ context.Context, cmd *cli.Command) error {
			l, err := Logger(cmd, &out)
			if err != nil {
				return err
			}
			l.Error("failed", slog.Any("error", eris.Wrap(ErrSetting, "outer")))
			return nil
		}}
		if err := cmd.Run(t.Context(), []string{"x", "--log-format", format}); err != nil {
			t.Fatal(err)
		}
		if s := out.String(); strings.Contains(s, ".go:") || !strings.Contains(s, "outer: invalid setting") {
			t.Errorf("%s: %s", format, s)
		}
	}
}
