// Command review-3 plays the cases of the third review: it starts the project's
// processes on loopback addresses, with stand-ins of the store, the workers and the
// clients, and checks the rules on what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// small is the capacity of one worker of the small deployment.
var small = resources{Cpu: 32000, MemMb: 65536, Gpu: 8}

// cases are the plays by name. trouble is false for the same play without its
// disruption.
var cases = map[string]func(rec *record, trouble bool) *system{
	"ends":     ends,
	"soak":     soak,
	"takeover": takeover,
	"rush":     rush,
	"link":     link,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	s := cases[os.Args[1]](rec, trouble)
	s.close()
	rec.judge(small)
	os.Exit(rec.finish())
}
