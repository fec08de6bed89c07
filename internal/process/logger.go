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

// LogFlags gives the flags that choose what is logged and how.
func LogFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagLogLevel, Value: "info", Sources: Env(flagLogLevel),
			Usage: "least level to log: debug, info, warn or error",
		},
		&cli.StringFlag{
			Name: flagLogFormat, Value: "text", Sources: Env(flagLogFormat),
			Usage: "format of log lines: text or json",
		},
	}
}

// plainErrors writes errors as their message, without the stack that eris keeps.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// Logger makes the logger that the command's flags ask for; it writes to w
// itself, without bounds, as tools for people do. The error is a *SettingError.
func Logger(cmd *cli.Command, w io.Writer) (*slog.Logger, error) {
	h, err := handler(cmd, w)
	if err != nil {
		return nil, err
	}
	return slog.New(h), nil
}

// ServerLogger makes the logger of a program that serves: its lines are bounded
// and never block. flush writes out what is queued. The error is a *SettingError.
func ServerLogger(cmd *cli.Command, w io.Writer) (logger *slog.Logger, flush func(), err error) {
	sink := logsink.NewSink(w)
	h, err := handler(cmd, sink)
	if err != nil {
		return nil, nil, err
	}
	return slog.New(logsink.NewHandler(h, sink)), sink.Close, nil
}

func handler(cmd *cli.Command, w io.Writer) (slog.Handler, error) {
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
