package process

import (
	"strings"

	"github.com/urfave/cli/v3"
)

const envPrefix = "COLTSFOOTMUX_"

// Env returns the environment variable by which a flag may also be set: the
// project's prefix followed by the flag's name in capitals, with underscores for
// hyphens.
func Env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}
