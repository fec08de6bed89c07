package process

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrSetting means that a process setting is wrong.
var ErrSetting = eris.New("wrong setting")

// SettingError names the flag, the value it had and what is allowed.
type SettingError struct {
	Flag    string
	Value   any
	Allowed string
}

// Error gives the one line that the program prints before it exits.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s: %q is not allowed: want %s", e.Flag, fmt.Sprint(e.Value), e.Allowed)
}

// Unwrap makes errors.Is(err, ErrSetting) hold.
func (e *SettingError) Unwrap() error { return ErrSetting }
