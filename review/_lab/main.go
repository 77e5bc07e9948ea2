// Lab runs the scripted cases of the review: it starts the programs of the project
// as processes on loopback addresses, with stand-ins of the platform's store, of the
// workers and of the clients, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// scenario is a case. It returns the breaches of its rule.
type scenario struct {
	entries, workers, gpus int
	play                   func(s *system, trouble bool) ([]string, error)
}

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run1(os.Args[1], os.Args[2]))
}

func run1(name, folder string) int {
	sc, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption: %t", name, trouble)
	s, err := newSystem(rec, sc.entries, sc.workers, sc.gpus)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitFailed
	}
	type outcome struct {
		breaches []string
		err      error
	}
	done := make(chan outcome, 1)
	go func() {
		breaches, err := sc.play(s, trouble)
		done <- outcome{breaches, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		if o.err != nil {
			rec.say("the case could not run: %v", o.err)
			return exitFailed
		}
		for _, b := range o.breaches {
			rec.say("BROKEN %s", b)
		}
		if len(o.breaches) > 0 {
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	case <-signals:
		rec.say("the case was interrupted")
	case <-time.After(caseTimeout):
		rec.say("the case took too long")
	}
	return exitFailed
}
