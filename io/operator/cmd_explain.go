package operator

import (
	"fmt"
	"net/http"

	"bramleythread/io/caller"
)

var cmdExplain = &Command{
	Name:        "explain",
	Description: "Tells why a request went where it did",
	Args:        "[-settings FILE] REQUEST",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("explain", env)
		settings := settingsFlag(fs)
		if err := parse(env, fs, args, 1); err != nil {
			return err
		}
		s, err := operatorSettings(env, *settings)
		if err != nil {
			return err
		}
		var x caller.Explanation
		if err := askEntry(s, http.MethodGet, "/v1/requests/"+escape(fs.Arg(0))+"/explanation", &x); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(env.Stdout, "%s of %s to %s: %s\n", x.Request, x.Customer, x.Service, x.Outcome)
		for _, step := range x.Steps {
			_, _ = fmt.Fprintf(env.Stdout, "%12s  %s\n", step.After, step.Text)
		}
		return nil
	},
}
