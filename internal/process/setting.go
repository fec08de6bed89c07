package process

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrSetting means that a setting of the process is invalid.
var ErrSetting = eris.New("invalid setting")

// SettingError reports an invalid flag: its name, its value and what is allowed.
type SettingError struct {
	Flag    string
	Value   any
	Allowed string
}

// Error returns the line that the program prints before it exits.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s: %q is not allowed: want %s", e.Flag, fmt.Sprint(e.Value), e.Allowed)
}

// Unwrap makes errors.Is(err, ErrSetting) hold.
func (e *SettingError) Unwrap() error { return ErrSetting }
