package scheduler

import (
	"context"
	"maps"
	"slices"

	"coltsfootmux/internal/wire"
)

// Overview tells what this scheduler owns and sees. The error is ErrStopped or
// that of ctx.
func (s *Scheduler) Overview(ctx context.Context) (wire.Overview, error) {
	reply := make(chan wire.Overview, 1)
	return await(ctx, s, overviewMsg{reply: reply}, reply)
}

func (l *loop) overview() wire.Overview {
	v := wire.Overview{
		Host:     l.s.o.Self.ID,
		Config:   l.version(),
		Cells:    l.pl.Cells(),
		Accounts: l.pl.Accounts(),
		Groups:   slices.Sorted(maps.Keys(l.groups)),
	}
	for i := range v.Cells {
		v.Cells[i].Owner = l.s.o.Self.ID
	}
	return v
}
