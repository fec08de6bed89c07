package program

import (
	"context"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/load"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/process"
	"coltsfootmux/internal/standin/worker"
)

const (
	flagURL    = "url"
	flagMix    = "mix"
	flagFor    = "for"
	flagScale  = "scale"
	flagSeed   = "seed"
	flagToken  = "token"
	flagRecord = "record"

	mixCooperative  = "cooperative"
	mixObservatory  = "observatory"
	defaultLoadTime = 30 * time.Second
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send open-loop load to entry hosts and count the outcomes",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagURL, Usage: "base URL of an entry host; may be given several times"},
			&cli.StringFlag{Name: flagMix, Value: mixCooperative, Usage: "mix of work: cooperative or observatory"},
			&cli.StringSliceFlag{Name: "account", Usage: "the mix's two client accounts, in order"},
			&cli.DurationFlag{Name: flagFor, Value: defaultLoadTime, Usage: "how long requests are sent, such as 30s"},
			&cli.FloatFlag{Name: flagScale, Value: 1, Usage: "factor on the rates of arrivals"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the arrivals"},
			&cli.StringFlag{Name: flagToken, Usage: "bearer token", Sources: process.Env(flagToken)},
			&cli.StringFlag{Name: flagRecord, Usage: "file to write a recording to, for report"},
		},
		Action: sendLoad,
	}
}

func sendLoad(ctx context.Context, cmd *cli.Command) error {
	mix, err := chosenMix(cmd)
	if err != nil {
		return err
	}
	if err := checkRunFlags(cmd); err != nil {
		return err
	}
	caller := load.NewHTTPCaller(cmd.StringSlice(flagURL), cmd.String(flagToken))
	defer caller.Close()
	tally := load.NewTally()
	driver := &load.Driver{Caller: caller, Tally: tally, Body: taskBody}
	began := time.Now()
	driver.Run(ctx, load.Schedule(mix, cmd.Duration(flagFor), cmd.Float(flagScale), cmd.Uint64(flagSeed)))
	load.WriteTable(cmd.Root().Writer, tally)
	if path := cmd.String(flagRecord); path != "" {
		return tally.Recording("coltsfootmux-load run, "+cmd.String(flagMix), began, cmd.Uint64(flagSeed)).Write(path)
	}
	return nil
}

func chosenMix(cmd *cli.Command) ([]load.KindSpec, error) {
	accounts := cmd.StringSlice("account")
	name := cmd.String(flagMix)
	if len(accounts) != 0 && len(accounts) != 2 {
		return nil, &process.SettingError{Flag: "account", Value: accounts, Allowed: "two client accounts, or none for the development deployment's"}
	}
	accountAt := func(i int, otherwise model.Account) model.Account {
		if len(accounts) == 0 {
			return otherwise
		}
		return model.Account(accounts[i])
	}
	switch name {
	case mixCooperative:
		return load.Cooperative(accountAt(0, "orders"), accountAt(1, "planning")), nil
	case mixObservatory:
		return load.Observatory(accountAt(0, "analysts"), accountAt(1, "index")), nil
	}
	return nil, &process.SettingError{Flag: flagMix, Value: name, Allowed: "cooperative or observatory"}
}

func checkRunFlags(cmd *cli.Command) error {
	if len(cmd.StringSlice(flagURL)) == 0 {
		return &process.SettingError{Flag: flagURL, Value: "", Allowed: "at least one base URL"}
	}
	for _, text := range cmd.StringSlice(flagURL) {
		if u, err := url.Parse(text); err != nil || u.Host == "" {
			return &process.SettingError{Flag: flagURL, Value: text, Allowed: "an http or https URL"}
		}
	}
	if cmd.Duration(flagFor) <= 0 {
		return &process.SettingError{Flag: flagFor, Value: cmd.Duration(flagFor), Allowed: "a duration above 0"}
	}
	if cmd.Float(flagScale) <= 0 {
		return &process.SettingError{Flag: flagScale, Value: cmd.Float(flagScale), Allowed: "a number above 0"}
	}
	return nil
}

// taskBody returns a body that makes a stand-in worker run for a time and return an
// answer of a size.
func taskBody(run time.Duration, answerBytes int) []byte {
	return worker.Spec{RunMS: run.Milliseconds(), AnswerBytes: answerBytes}.Encode()
}
