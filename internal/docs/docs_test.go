package docs

import (
	"flag"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"coltsfootmux/internal/logevent"
	"coltsfootmux/internal/metric"
)

var update = flag.Bool("update", false, "write the pages generated from the code")

const root = "../.."

func TestPagesMatchDeclarations(t *testing.T) {
	for name, want := range map[string]string{"EVENTS.md": EventsPage(), "METRICS.md": MetricsPage()} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(root, "docs", name)
			if *update {
				if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			got, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != want {
				t.Errorf("differs from the code: run go test ./internal/docs -update\nwant:\n%s", want)
			}
		})
	}
}

var declarationPattern = regexp.MustCompile(`\b(logevent\.New|metric\.New\w+)\(`)

// TestEveryDeclaringPackageIsImported searches the source for packages that declare
// events or metrics, and checks that this package imports each of them.
func TestEveryDeclaringPackageIsImported(t *testing.T) {
	imported := docImports(t)
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		if err != nil || !declarationPattern.Match(src) {
			return err
		}
		rel, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		if pkg := "coltsfootmux/" + filepath.ToSlash(rel); !imported[pkg] {
			t.Errorf("%s declares events or metrics and is not imported in doc.go", pkg)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func docImports(t *testing.T) map[string]bool {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "doc.go", nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]bool)
	for _, i := range f.Imports {
		path, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		out[path] = true
	}
	return out
}

var metricNamePattern = regexp.MustCompile(`^coltsfootmux_[a-z]+(_[a-z0-9]+)+$`)

func TestMetricsHaveUniformNamesAndDescriptions(t *testing.T) {
	for _, m := range metric.All() {
		if !metricNamePattern.MatchString(m.Name) || m.Unit == "" || m.Help == "" {
			t.Errorf("%+v", m)
		}
		if m.Type == "counter" && !strings.HasSuffix(m.Name, "_total") {
			t.Errorf("counter %s does not end in _total", m.Name)
		}
	}
}

func TestEventsHaveFourDigitCodeAndText(t *testing.T) {
	for _, e := range logevent.All() {
		if e.Code < 1000 || e.Code > 9999 || e.Text == "" || strings.Contains(e.Text, "|") {
			t.Errorf("%+v", e)
		}
	}
}

// TestConfigurationPageNamesEveryField checks docs/CONFIGURATION.md against the YAML
// tags of the types.
func TestConfigurationPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "CONFIGURATION.md"))
	if err != nil {
		t.Fatal(err)
	}
	fields := regexp.MustCompile("yaml:\"(\\w+)")
	for _, dir := range []string{"internal/config", "internal/model"} {
		files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			src, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range fields.FindAllStringSubmatch(string(src), -1) {
				if !strings.Contains(string(page), "`"+m[1]+"`") {
					t.Errorf("field %s of %s is not on the page", m[1], filepath.Base(name))
				}
			}
		}
	}
}
