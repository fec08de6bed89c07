package process

import (
	"strings"

	"github.com/urfave/cli/v3"
)

const envPrefix = "COLTSFOOTMUX_"

// Env gives the environment variable that a flag may also be set by: the
// flag's name in capitals with underscores behind the project's prefix.
func Env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}
