package report

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms": func(d time.Duration) string { return d.Round(time.Millisecond / 10).String() },
}).Parse(pageText))

// page is what the template shows.
type page struct {
	*Recording
	Charts []template.HTML
}

// WriteHTML writes the recording as one HTML page that needs nothing else. The
// error wraps ErrChart or ErrRecording.
func (r *Recording) WriteHTML(w io.Writer) error {
	cs, err := charts(r)
	if err != nil {
		return err
	}
	if err := pageTemplate.Execute(w, page{Recording: r, Charts: cs}); err != nil {
		return eris.Wrap(ErrRecording, err.Error())
	}
	return nil
}
