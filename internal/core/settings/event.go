package settings

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Event is what can happen to a Core.
type Event interface{ event() }

// Opened says where reading starts because the stream was first reached or the
// next record to read has expired. The oldest record kept is read next, or the
// one after the last decided if that is kept.
type Opened struct{ Oldest model.Offset }

// Read hands over the next entry of the stream.
type Read struct{ Entry platform.Entry }

// Head says that the stream ended before an offset a moment ago.
type Head struct{ Next model.Offset }

// Offered hands over an update from another host.
type Offered struct{ Update *Update }

// Heard tells which version another own host has in force.
type Heard struct {
	Host    model.HostID
	Version config.Version
}

// Listed tells which own hosts the host list shows as live, without this one.
type Listed struct{ Hosts []model.HostID }

// Tick lets snapshots fall due. Rank is this host's place in the order in which
// hosts take the duty; 0 is first.
type Tick struct{ Rank int }

func (Opened) event()  {}
func (Read) event()    {}
func (Head) event()    {}
func (Offered) event() {}
func (Heard) event()   {}
func (Listed) event()  {}
func (Tick) event()    {}
