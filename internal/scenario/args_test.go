package scenario_test

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// args are a command's words: some by position, then some as name=value.
type args struct {
	words []string
	out   io.Writer
	err   error
}

// word gives the next word by position.
func (a *args) word(what string) string {
	if len(a.words) == 0 || strings.Contains(a.words[0], "=") && !strings.HasPrefix(a.words[0], "{") {
		a.fail("no %s given", what)
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

func (a *args) duration(what string) time.Duration {
	d, err := time.ParseDuration(a.word(what))
	a.check(err)
	return d
}

func (a *args) number(what string) uint64 {
	n, err := strconv.ParseUint(a.word(what), 10, 64)
	a.check(err)
	return n
}

// option gives the value of name=value, or def.
func (a *args) option(name, def string) string {
	for i, w := range a.words {
		if v, ok := strings.CutPrefix(w, name+"="); ok {
			a.words = append(a.words[:i:i], a.words[i+1:]...)
			return v
		}
	}
	return def
}

func (a *args) optDuration(name string, def time.Duration) time.Duration {
	v := a.option(name, "")
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	a.check(err)
	return d
}

func (a *args) optNumber(name string, def uint64) uint64 {
	v := a.option(name, "")
	if v == "" {
		return def
	}
	n, err := strconv.ParseUint(v, 10, 64)
	a.check(err)
	return n
}

func (a *args) fail(format string, values ...any) { a.check(fmt.Errorf(format, values...)) }

func (a *args) check(err error) {
	if a.err == nil {
		a.err = err
	}
}

// finish gives the first fault found, and refuses words that were not used.
func (a *args) finish() error {
	if a.err == nil && len(a.words) > 0 {
		return fmt.Errorf("not understood: %q", a.words)
	}
	return a.err
}

// scriptWords gives the first word of every line of every script.
func scriptWords(t *testing.T) map[string]bool {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	out := make(map[string]bool)
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(data)) {
			if words := strings.Fields(line); len(words) > 0 {
				out[words[0]] = true
			}
		}
	}
	return out
}
