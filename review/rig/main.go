// Command rig plays the cases of the review: the node program as separate processes, with a
// stand-in store, stand-in workers and a client around them. It exits with 1 if the case's
// rule was broken, 0 if it held, and 2 if the case could not be played.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

var cases = map[string]func(*bed) error{
	"crashes":     crashes,
	"drained":     drained,
	"failing":     failing,
	"missing":     missing,
	"occurrences": occurrences,
	"pending":     pending,
	"refused":     refused,
	"upkeep":      upkeep,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	program := flag.String("program", "target/coltsfootmux-node", "path of the node program")
	trouble := flag.Bool("trouble", os.Getenv("TROUBLE") != "0", "play the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	rec, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	tmp, err := os.MkdirTemp("", "coltsfootmux-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(tmp) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", tmp)
	}
	b, err := newBed(rec, tmp, *program, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	err = playUntilStopped(b, play)
	if err != nil {
		rec.notef("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken := rec.violations()
	for _, v := range broken {
		fmt.Println(v)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.notef("no rule broken")
	return 0
}

// playUntilStopped plays a case; a signal ends it early.
func playUntilStopped(b *bed, play func(*bed) error) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- play(b) }()
	select {
	case err := <-done:
		return err
	case s := <-stop:
		return fmt.Errorf("stopped by signal: %v", s)
	}
}
