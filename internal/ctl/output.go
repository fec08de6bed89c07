package ctl

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/process"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// printer writes answers in the form asked for.
type printer struct {
	w    io.Writer
	json bool
}

func newPrinter(cmd *cli.Command) (*printer, error) {
	form := cmd.String(flagOutput)
	if form != outputTable && form != outputJSON {
		return nil, &process.SettingError{Flag: flagOutput, Value: form, Allowed: "table or json"}
	}
	return &printer{w: cmd.Root().Writer, json: form == outputJSON}, nil
}

// print writes v as JSON, or calls f to fill a table.
func (p *printer) print(v any, header table.Row, f func(t table.Writer)) error {
	if p.json {
		enc := json.NewEncoder(p.w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	t := table.NewWriter()
	t.SetOutputMirror(p.w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	f(t)
	t.Render()
	return nil
}

// line writes one line of text; with JSON it writes v instead.
func (p *printer) line(v any, format string, args ...any) error {
	if p.json {
		return p.print(v, nil, nil)
	}
	_, err := fmt.Fprintf(p.w, format+"\n", args...)
	return err
}

// missing says which hosts an answer lacks.
func (p *printer) missing(hosts []model.HostID) error {
	if p.json || len(hosts) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(p.w, "no answer from: %v\n", hosts)
	return err
}

// shapeText writes a shape in one cell of a table.
func shapeText(s model.Shape) string {
	return fmt.Sprintf("%d slots, %d acc", s.Slots, s.Accelerators)
}
