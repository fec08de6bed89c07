package audit

import (
	"strings"
	"time"
)

// Filter selects entries; a zero field does not restrict them.
type Filter struct {
	Author string
	Ruling Ruling
	// Path is a substring of a changed path, such as an account's name.
	Path string
	// Since and Until bound the time: from Since on, before Until.
	Since, Until time.Time
	// Limit is the largest number of entries returned; 0 for all.
	Limit int
}

func (f *Filter) matches(e *Entry) bool {
	switch {
	case f.Author != "" && e.Author != f.Author,
		f.Ruling != "" && e.Ruling != f.Ruling,
		!f.Since.IsZero() && e.At.Before(f.Since),
		!f.Until.IsZero() && !e.At.Before(f.Until):
		return false
	}
	return f.Path == "" || changesPath(e, f.Path)
}

func changesPath(e *Entry, part string) bool {
	for _, c := range e.Changes {
		if strings.Contains(c.Path, part) {
			return true
		}
	}
	return false
}
