package program

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/process"
	"coltsfootmux/internal/report"
)

const (
	flagIn  = "in"
	flagOut = "out"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "draw a recording as one self-contained HTML page",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagIn, Usage: "file with the recording"},
			&cli.StringFlag{Name: flagOut, Value: "report.html", Usage: "file to write the page to"},
		},
		Action: writeReport,
	}
}

func writeReport(_ context.Context, cmd *cli.Command) error {
	if cmd.String(flagIn) == "" {
		return &process.SettingError{Flag: flagIn, Value: "", Allowed: "a file written by run or demo with --record"}
	}
	r, err := report.Read(cmd.String(flagIn))
	if err != nil {
		return err
	}
	f, err := os.Create(cmd.String(flagOut))
	if err != nil {
		return eris.Wrap(report.ErrRecording, err.Error())
	}
	if err := r.WriteHTML(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
