package operator

import (
	"fmt"
	"io"
)

var cmdHelp = &Command{
	Name:        "help",
	Description: "Lists the commands",
	Action: func(env Env, _ []string) error {
		printHelp(env.Stdout)
		return nil
	},
}

func printHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, "usage: bramleythread COMMAND [ARGS]\n\n")
	for _, c := range Commands {
		_, _ = fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Description)
	}
	_, _ = fmt.Fprint(w, "\nbramleythread COMMAND --help tells more of a command.\n")
}
