// Command lab2 plays one case of the second review: it starts the project's programs on
// loopback addresses beside stand-ins of the store, the workers and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// outcome is the result of a case.
type outcome struct {
	broken bool
	why    string
}

// cases are the cases by name. trouble is false for the play without the disruption.
var cases = map[string]func(s *system, trouble bool) (outcome, error){
	"gang":   playGang,
	"cancel": playCancel,
	"leave":  playLeave,
	"wide":   playWide,
	"orders": playOrders,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run1(play, os.Args[2]))
}

func run1(play func(s *system, trouble bool) (outcome, error), folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSystem(rec, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		outcome
		err error
	}
	done := make(chan result, 1)
	go func() {
		o, err := play(s, trouble)
		done <- result{o, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case sig := <-signals:
		r.err = fmt.Errorf("ended by %v", sig)
	case r = <-done:
	case <-time.After(maxTime):
		r.err = fmt.Errorf("the case took more than %v", maxTime)
	}
	s.stop()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	code := 0
	switch {
	case r.err != nil:
		rec.add("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		code = 2
	case r.broken:
		rec.add("broken: %s", r.why)
		fmt.Println("broken:", r.why)
		code = 1
	default:
		rec.add("held: %s", r.why)
		fmt.Println("held:", r.why)
	}
	if err := rec.write(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
