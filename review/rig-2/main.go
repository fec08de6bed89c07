// Command rig-2 plays the cases of the second review: a small deployment of the project's processes
// on loopback addresses, with stand-ins for the platform's store, workers, machines, operator and clients.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case, with or without its disruption. It returns how the rule was broken.
type scenario struct {
	// setUp adds the workers and machines.
	setUp func(*rig)
	queue []queue
	// guaranteed is the number of GPUs that the tenant is guaranteed.
	guaranteed int
	play       func(r *rig, trouble bool) (broken []string, ok bool)
}

var scenarios = map[string]scenario{
	"ends":    endsScenario,
	"preempt": preemptScenario,
	"upkeep":  upkeepScenario,
	"record":  recordScenario,
	"advice":  adviceScenario,
	"crash":   crashScenario,
	"kind":    kindScenario,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Println("no such case:", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(play(s, *root, *record))
}

func play(s scenario, root, record string) int {
	r, err := newRig(root, record)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.log.note("case with the disruption: %v", trouble)
	r.queues = s.queue
	s.setUp(r)
	r.configure(s.guaranteed)
	r.register()
	if err := r.startNodes(); err != nil {
		r.log.note("%v", err)
		return exitNotRun
	}
	if !r.awaitReady(readyTime) {
		r.log.note("the nodes are not ready")
		return exitNotRun
	}
	r.log.note("node   all are ready")
	broken, ok := s.play(r, trouble)
	for n, b := range broken {
		if n < 20 {
			r.log.note("BROKEN %s", b)
		}
	}
	starts, done, noted := r.log.counts()
	r.log.note("result starts %d, ended as done %d, of these acknowledged %d, rule broken %d times", starts, done, noted, len(broken))
	switch {
	case len(broken) > 0:
		return exitBroken
	case !ok:
		return exitNotRun
	}
	return exitHeld
}
