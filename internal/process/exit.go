package process

import (
	"errors"

	"github.com/urfave/cli/v3"
)

// exitCode returns the exit status for an error that a command returned.
func exitCode(err error) int {
	if errors.Is(err, ErrSetting) {
		return exitSetting
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return 1
}
