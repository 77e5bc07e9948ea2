// Bramleythread schedules multi-accelerator jobs under customer guarantees.
package main

import (
	"os"

	"bramleythread/io/operator"
)

func main() {
	os.Exit(operator.Main(operator.Env{
		Args:   os.Args,
		Getenv: os.Getenv,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
	}))
}
