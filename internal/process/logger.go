package process

import (
	"io"
	"log/slog"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/logsink"
)

const (
	flagLogLevel  = "log-level"
	flagLogFormat = "log-format"
)

// LogFlags returns the flags that set the log level and format.
func LogFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagLogLevel, Value: "info", Sources: Env(flagLogLevel),
			Usage: "minimum level to log: debug, info, warn or error",
		},
		&cli.StringFlag{
			Name: flagLogFormat, Value: "text", Sources: Env(flagLogFormat),
			Usage: "format of log lines: text or json",
		},
	}
}

// plainErrors replaces an error by its message, so that the stack trace that eris
// keeps is not logged.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// Logger returns a logger with the level and format given by cmd's flags. It writes
// to w directly and without rate limits, which suits interactive tools. The error
// is a *SettingError.
func Logger(cmd *cli.Command, w io.Writer) (*slog.Logger, error) {
	h, err := newHandler(cmd, w)
	if err != nil {
		return nil, err
	}
	return slog.New(h), nil
}

// ServerLogger returns the logger of a server: its lines are rate-limited, and
// logging never blocks. flush writes the queued lines; nothing may be logged after
// it. The error is a *SettingError.
func ServerLogger(cmd *cli.Command, w io.Writer) (logger *slog.Logger, flush func(), err error) {
	sink := logsink.NewSink(w)
	h, err := newHandler(cmd, sink)
	if err != nil {
		return nil, nil, err
	}
	return slog.New(logsink.NewHandler(h, sink)), sink.Close, nil
}

func newHandler(cmd *cli.Command, w io.Writer) (slog.Handler, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(cmd.String(flagLogLevel))); err != nil {
		return nil, &SettingError{Flag: flagLogLevel, Value: cmd.String(flagLogLevel), Allowed: "debug, info, warn or error"}
	}
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}
	switch cmd.String(flagLogFormat) {
	case "text":
		return slog.NewTextHandler(w, opts), nil
	case "json":
		return slog.NewJSONHandler(w, opts), nil
	}
	return nil, &SettingError{Flag: flagLogFormat, Value: cmd.String(flagLogFormat), Allowed: "text or json"}
}
