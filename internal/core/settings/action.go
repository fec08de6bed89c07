package settings

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Action is what a Core asks its shell to do.
type Action interface{ action() }

// Install brings a version into force. Versions only rise.
type Install struct{ Config *config.Versioned }

// Judge reports what became of a record.
type Judge struct{ Verdict Verdict }

// Seek asks to go on reading from an offset.
type Seek struct{ From model.Offset }

// Save asks to append a snapshot to the stream.
type Save struct{ Snapshot *Snapshot }

func (Install) action() {}
func (Judge) action()   {}
func (Seek) action()    {}
func (Save) action()    {}
