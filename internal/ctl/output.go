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

// printer writes results as tables and text or as JSON, as --output says.
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

// print writes v as JSON, or a table with the given header whose rows f appends.
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

// printLine writes formatted text and a newline, or v if the output is JSON.
func (p *printer) printLine(v any, format string, args ...any) error {
	if p.json {
		return p.print(v, nil, nil)
	}
	_, err := fmt.Fprintf(p.w, format+"\n", args...)
	return err
}

// printUnanswered lists the hosts that did not respond and whose data is missing
// from the table. It writes nothing if the output is JSON, which holds the list.
func (p *printer) printUnanswered(hosts []model.HostID) error {
	if p.json || len(hosts) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(p.w, "no answer from: %v\n", hosts)
	return err
}

// shapeText returns the slots and accelerators of a shape for a table cell.
func shapeText(s model.Shape) string {
	return fmt.Sprintf("%d slots, %d acc", s.Slots, s.Accelerators)
}
