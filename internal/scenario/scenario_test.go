package scenario_test

import (
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestScenarios(t *testing.T) {
	testscript.RunT(inBubble{t}, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			w := newWorld()
			env.Values[worldKey{}] = w
			env.Defer(w.close)
			return nil
		},
		Cmds:                commandFuncs(),
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
	})
}

// inBubble runs each script in virtual time.
type inBubble struct{ *testing.T }

// Run runs f as a subtest with a clock of its own.
func (b inBubble) Run(name string, f func(testscript.T)) {
	b.T.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(inBubble{t}) })
	})
}

// Parallel does nothing: a bubble can't wait for others, and needs no time.
func (inBubble) Parallel() {}

// Verbose reports whether scripts are to be shown.
func (inBubble) Verbose() bool { return testing.Verbose() }
