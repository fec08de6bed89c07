package scenario_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// command is one that scripts may use besides those of testscript. What run
// writes goes to the script's stdout; an error fails the script.
type command struct {
	name  string
	usage string
	does  string
	run   func(w *world, a *args) error
}

// commands is the table of all commands. Other files add theirs to it.
var commands = slices.Concat(timeCommands, logCommands, workerCommands, callCommands)

var timeCommands = []command{
	{"pass", "pass 10s", "lets virtual time pass", func(_ *world, a *args) error {
		time.Sleep(a.duration("time"))
		return nil
	}},
}

// commandFuncs gives the commands as testscript wants them.
func commandFuncs() map[string]func(*testscript.TestScript, bool, []string) {
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for _, c := range commands {
		out[c.name] = func(ts *testscript.TestScript, neg bool, words []string) {
			if neg {
				ts.Fatalf("%s can't be negated; check what it prints", c.name)
			}
			a := &args{words: words, out: ts.Stdout()}
			// What earlier commands set off comes to rest first, so that each run goes alike.
			synctest.Wait()
			err := c.run(ts.Value(worldKey{}).(*world), a)
			if err == nil {
				err = a.finish()
			}
			if err != nil {
				ts.Fatalf("%s: %v (usage: %s)", c.name, err, c.usage)
			}
		}
	}
	return out
}

func TestCommandsAreDescribedAndUsed(t *testing.T) {
	used := scriptWords(t)
	for _, c := range commands {
		t.Logf("%-70s %s", c.usage, c.does)
		if !strings.HasPrefix(c.usage, c.name) || c.does == "" {
			t.Errorf("%s is not described", c.name)
		}
		if !used[c.name] {
			t.Errorf("no script uses %s", c.name)
		}
	}
}

// outcomeLine writes one line that a script can match.
func outcomeLine(a *args, format string, values ...any) error {
	_, err := fmt.Fprintf(a.out, format+"\n", values...)
	return err
}
