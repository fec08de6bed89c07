package termination

import "testing"

// TestEndsRead guards against conclusions from lists of ended runs that leave some out.
func TestEndsRead(t *testing.T) {
	for name, c := range map[string]struct {
		read func(*EndsRead)
		// since is the last hold that was sent when the run was found missing.
		since int64
		want  bool
	}{
		"nothing was read":                            {func(*EndsRead) {}, 3, false},
		"a complete list of a later hold":             {func(e *EndsRead) { e.ListedAll(4) }, 3, true},
		"a complete list of a hold on its way":        {func(e *EndsRead) { e.ListedAll(3) }, 3, false},
		"the end of a run that was active later":      {func(e *EndsRead) { e.Listed(4) }, 3, true},
		"the end of a run that was active before":     {func(e *EndsRead) { e.Listed(3) }, 3, false},
		"the end of a run that no list showed":        {func(e *EndsRead) { e.Listed(0) }, 3, false},
		"an older end after a complete list of later": {func(e *EndsRead) { e.ListedAll(5); e.Listed(2) }, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			var e EndsRead
			c.read(&e)
			if got := e.Since(c.since); got != c.want {
				t.Errorf("read since %d: %v, want %v", c.since, got, c.want)
			}
		})
	}
}
