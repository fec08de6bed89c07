package program

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/experiment"
	"coltsfootmux/internal/process"
)

const flagTrace = "trace"

func policyCommand() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "simulate traces with the placement core in virtual time, under each policy",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagTrace, Usage: "simulate only this trace (default: all)"},
		},
		Action: comparePolicies,
	}
}

func comparePolicies(_ context.Context, cmd *cli.Command) error {
	traces, err := chosenTraces(cmd.String(flagTrace))
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	for _, t := range traces {
		results := runPolicies(t, experiment.Policies())
		experiment.Table(out, results)
		experiment.Targets(out, results)
		_, _ = fmt.Fprintln(out)
	}
	return nil
}

func chosenTraces(name string) ([]experiment.Trace, error) {
	all := experiment.Traces()
	if name == "" {
		return all, nil
	}
	i := slices.IndexFunc(all, func(t experiment.Trace) bool { return t.Name == name })
	if i >= 0 {
		return all[i : i+1], nil
	}
	var names []string
	for _, t := range all {
		names = append(names, t.Name)
	}
	return nil, &process.SettingError{Flag: flagTrace, Value: name, Allowed: "one of " + strings.Join(names, ", ")}
}

// runPolicies simulates a trace under each policy, several at a time. Each
// simulation is deterministic, and the results are in the order of the policies.
func runPolicies(t experiment.Trace, policies []placement.Policy) []experiment.Result {
	out := make([]experiment.Result, len(policies))
	var g errgroup.Group
	g.SetLimit(max(1, runtime.NumCPU()/2))
	for i, p := range policies {
		g.Go(func() error {
			out[i] = experiment.Run(t, p)
			return nil
		})
	}
	_ = g.Wait()
	return out
}
