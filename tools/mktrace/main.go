// Mktrace generates a workload trace with its expected outcomes.
//
//	go run ./tools/mktrace -deployment puhkekapsel|chaophraya -seed N -out FILE
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"bramleythread/core/trace"
)

func main() {
	deployment := flag.String("deployment", "", "puhkekapsel or chaophraya")
	seed := flag.Uint64("seed", 1, "seed of the random numbers")
	out := flag.String("out", "", "`FILE` to write")
	length := flag.Duration("length", trace.DefaultDuration, "time that the trace covers")
	flag.Parse()
	if err := writeTrace(*deployment, *seed, *length, *out); err != nil {
		fmt.Fprintln(os.Stderr, "mktrace:", err)
		os.Exit(1)
	}
}

func writeTrace(deployment string, seed uint64, length time.Duration, out string) (err error) {
	t, err := trace.Generate(deployment, seed, length)
	if err != nil {
		return err
	}
	f, err := os.Create(out)
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	return t.Write(f)
}
