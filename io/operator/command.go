// Package operator implements the command line: the commands that start the
// processes of the system and those that operators use.
package operator

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"bramleythread/core/config"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Env is the environment of a command: its arguments, variables and output.
type Env struct {
	Args   []string
	Getenv func(key string) string
	Stdout io.Writer
	Stderr io.Writer
}

// Command is a command of the program.
type Command struct {
	Name        string
	Description string
	Args        string // arguments as shown in the usage line
	Action      func(env Env, args []string) error
}

// Commands lists the commands in the order of the help text.
var Commands []*Command

func init() {
	Commands = []*Command{
		cmdLocal,
		cmdEntry,
		cmdAgent,
		cmdStandin,
		cmdCheck,
		cmdPublish,
		cmdConfig,
		cmdStatus,
		cmdExplain,
		cmdDrain,
		cmdReplay,
		cmdVersion,
		cmdHelp,
	}
}

// UsageError reports invalid arguments of a command.
type UsageError struct {
	Reason string
}

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

// ReportedError is returned by a command that has already printed the reason of
// its failure. The program exits with status 1 and prints nothing more.
type ReportedError struct{}

// Error returns a text for callers that print the error nevertheless.
func (e *ReportedError) Error() string { return "failed" }

// UnreadableError reports that a file or the platform could not be read, so that
// nothing is known about what the command was to judge. The program exits with
// status 2.
type UnreadableError struct {
	Err error
}

// Error returns the text of the cause.
func (e *UnreadableError) Error() string { return eris.ToString(e.Err, false) }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Main runs the command given by the arguments and returns the exit status.
func Main(env Env) int {
	err := dispatch(env)
	var usage *UsageError
	var reported *ReportedError
	var unreadable *UnreadableError
	var faults *config.FaultsError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &reported):
		return exitFailure
	case errors.As(err, &unreadable):
		_, _ = fmt.Fprintf(env.Stderr, "bramleythread: %v\n", unreadable)
		return exitUsage
	case errors.As(err, &faults):
		_, _ = fmt.Fprintln(env.Stderr, faults.Error())
		return exitFailure
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(env.Stderr, "bramleythread: %v\n", err)
		return exitUsage
	default:
		_, _ = fmt.Fprintf(env.Stderr, "bramleythread: %s\n", eris.ToString(err, false))
		return exitFailure
	}
}

func dispatch(env Env) error {
	if len(env.Args) < 2 {
		printHelp(env.Stderr)
		return &UsageError{Reason: "no command given"}
	}
	name := env.Args[1]
	if name == "-h" || name == "-help" || name == "--help" {
		name = cmdHelp.Name
	}
	for _, c := range Commands {
		if c.Name == name {
			return c.Action(env, env.Args[2:])
		}
	}
	return &UsageError{Reason: fmt.Sprintf("unknown command %q; see bramleythread help", name)}
}

// flags returns the command's flag set, which prints its help text.
func (c *Command) flags(env Env) *flag.FlagSet {
	fs := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	fs.SetOutput(env.Stdout)
	fs.Usage = func() {
		_, _ = fmt.Fprintf(env.Stdout, "usage: bramleythread %s\n\n%s.\n", strings.TrimSpace(c.Name+" "+c.Args), c.Description)
		fs.PrintDefaults()
	}
	return fs
}

// anyOperands makes parseFlags accept any number of operands.
const anyOperands = -1

// parseFlags parses the flags and checks the number of operands that follow
// them.
func parseFlags(env Env, fs *flag.FlagSet, args []string, operands int) error {
	fs.SetOutput(io.Discard)
	usage := fs.Usage
	fs.Usage = func() {}
	err := fs.Parse(args)
	fs.SetOutput(env.Stdout)
	switch {
	case errors.Is(err, flag.ErrHelp):
		usage()
		return err
	case err != nil:
		return &UsageError{Reason: err.Error()}
	case operands != anyOperands && fs.NArg() != operands:
		return &UsageError{Reason: fmt.Sprintf("%s takes %d arguments, got %d", fs.Name(), operands, fs.NArg())}
	default:
		return nil
	}
}
