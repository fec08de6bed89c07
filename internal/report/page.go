package report

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms": func(d time.Duration) string { return d.Round(time.Millisecond / 10).String() },
}).Parse(pageSource))

// page is the data of the template.
type page struct {
	*Recording
	Charts []template.HTML
}

// WriteHTML writes the recording as one HTML page that refers to no other files. The
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
