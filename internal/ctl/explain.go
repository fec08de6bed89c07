package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"coltsfootmux/internal/overview"
)

const (
	// pathExplain is the path at which an instance on the platform explains where a job
	// would be placed.
	pathExplain = "explain"

	flagQueue = "queue"
	flagFile  = "file"

	// maxJobFileBytes limits the file that is read; the instance has a limit of its own.
	maxJobFileBytes = 16 << 20
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show where a job would be placed now, and why, without submitting it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagQueue, Required: true, Usage: "name of the queue"},
			&cli.StringFlag{Name: flagAccount, Usage: "name of the client account; may be left out for public queues"},
			&cli.StringFlag{Name: flagFile, Required: true, Usage: "file with the body of a submission; - reads standard input"},
		},
		Action: action(explainJob),
	}
}

// explainRequest is the body of the call.
type explainRequest struct {
	Queue   string          `json:"queue"`
	Account string          `json:"account"`
	Job     json.RawMessage `json:"job"`
}

func explainJob(ctx context.Context, cmd *cli.Command, c *Client, p *printer) error {
	body, err := readJobFile(cmd)
	if err != nil {
		return err
	}
	req := explainRequest{Queue: cmd.String(flagQueue), Account: cmd.String(flagAccount), Job: body}
	ex, err := post[overview.Explanation](ctx, c, pathExplain, req)
	if err != nil {
		return err
	}
	if p.json {
		return p.print(ex, nil, nil)
	}
	return printExplanation(p, ex)
}

// readJobFile returns the contents of the job's file. An error is a *Failure.
func readJobFile(cmd *cli.Command) ([]byte, error) {
	in, name := cmd.Root().Reader, cmd.String(flagFile)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, usageError(err.Error())
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxJobFileBytes+1))
	switch {
	case err != nil:
		return nil, usageError(err.Error())
	case len(b) > maxJobFileBytes:
		return nil, usageError(fmt.Sprintf("%s is longer than %d bytes", name, maxJobFileBytes))
	case !json.Valid(b):
		return nil, &Failure{Status: exitInvalid, Text: name + " is not valid JSON"}
	}
	return b, nil
}

func printExplanation(p *printer, ex *overview.Explanation) error {
	entitled := "not within a guarantee"
	if ex.Entitled {
		entitled = "within its account's guarantee"
	}
	objective := time.Duration(ex.ObjectiveMS) * time.Millisecond
	if err := p.printLine(ex, "queue %s, pool %s, priority %d, %s; objective %v", ex.Queue, ex.Pool, ex.Priority, entitled, objective); err != nil {
		return err
	}
	err := p.print(ex, table.Row{"step", "tasks", "rank", "run time", "start", "room made", "reserved", "wait", "why"}, func(t table.Writer) {
		for _, s := range ex.Steps {
			t.AppendRow(table.Row{s.Step, s.Tasks, rankText(&s), time.Duration(s.PredictedMS) * time.Millisecond, s.Starting, s.Planned, s.Reserved, s.Unplaced, waitText(&s)})
		}
	})
	if err != nil {
		return err
	}
	for _, s := range ex.Steps {
		if err := printPlacements(p, &s); err != nil {
			return err
		}
	}
	return nil
}

func rankText(s *overview.ExplainedStep) string {
	if s.Rank == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d", s.Rank, s.Waiting)
}

func waitText(s *overview.ExplainedStep) string {
	if s.Candidates == nil {
		return s.WaitReason
	}
	c := s.Candidates
	return fmt.Sprintf("%s (workers: %d listed, %d usable, %d allowed, %d large enough)", s.WaitReason, c.Listed, c.Usable, c.Allowed, c.LargeEnough)
}

// printPlacements lists the workers of a step's tasks and the runs that would be stopped.
func printPlacements(p *printer, s *overview.ExplainedStep) error {
	if len(s.Placements) > 0 {
		err := p.print(s, table.Row{"step", "task", "worker", "rack", "", "free acc", "free cores", "choice", "decided by"}, func(t table.Writer) {
			for _, w := range s.Placements {
				t.AppendRow(table.Row{s.Step, w.Task, w.Worker, w.Rack, placementText(&w), w.FreeGPU, float64(w.FreeCPU) / 1000, w.Choice, w.DecidedBy})
			}
			appendMore(t, s.MorePlacements)
		})
		if err != nil {
			return err
		}
	}
	if len(s.Stops) == 0 {
		return nil
	}
	return p.print(s, table.Row{"stopped for step", "job", "step", "task", "worker", "lost core-seconds"}, func(t table.Writer) {
		for _, r := range s.Stops {
			t.AppendRow(table.Row{s.Step, r.Job, r.Step, r.Task, r.Worker, float64(r.LostCoreMS) / 1000})
		}
		appendMore(t, s.MoreStops)
	})
}

func appendMore(t table.Writer, n int) {
	if n > 0 {
		t.AppendRow(table.Row{fmt.Sprintf("%d more", n)})
	}
}

// placementText returns the state of a placement with what speaks against the worker.
func placementText(w *overview.Placement) string {
	parts := []string{w.State}
	if w.Remote {
		parts = append(parts, "far from its data")
	}
	if w.Risky {
		parts = append(parts, "risky")
	}
	return strings.Join(parts, ", ")
}
