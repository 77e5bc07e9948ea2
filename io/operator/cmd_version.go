package operator

import (
	_ "embed"
	"fmt"
	"strings"
)

//go:embed version.txt
var version string

// Version returns the version of the program.
func Version() string { return strings.TrimSpace(version) }

var cmdVersion = &Command{
	Name:        "version",
	Description: "Prints the version",
	Action: func(env Env, args []string) error {
		if err := parseFlags(env, cmdFlags("version", env), args, 0); err != nil {
			return err
		}
		_, err := fmt.Fprintln(env.Stdout, Version())
		return err
	},
}
