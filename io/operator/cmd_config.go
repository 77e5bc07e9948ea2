package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bramleythread/io/caller"
	"bramleythread/io/platform"
)

var cmdConfig = &Command{
	Name:        "config",
	Description: "Shows the configuration in force, and where it is in force",
	Args:        "[-settings FILE] [-text]",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("config", env)
		settings := addSettingsFlag(fs)
		text := fs.Bool("text", false, "print the base file and the overlay too")
		if err := parseFlags(env, fs, args, 0); err != nil {
			return err
		}
		s, err := loadOperatorSettings(env, *settings)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		c := platform.NewClient(s.Store)
		defer c.Close()
		row, _, err := platform.LoadConfig(ctx, c.Store())
		if err != nil {
			return err
		}
		printConfigRow(env, row, *text)
		var status caller.Status
		if err := callEntry(s, http.MethodGet, "/v1/status", &status); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(env.Stdout, "%s: version %d, plan %d\n", status.Entry, status.ConfigVersion, status.PlanVersion)
		for _, w := range status.Workers {
			_, _ = fmt.Fprintf(env.Stdout, "%s: version %d, plan %d\n", w.Name, w.ConfigVersion, w.PlanVersion)
		}
		return nil
	},
}

func printConfigRow(env Env, row platform.ConfigRow, text bool) {
	_, _ = fmt.Fprintf(env.Stdout, "version %d by %s at %s\n", row.Version, row.Author, row.Time.Format(time.RFC3339))
	if text {
		_, _ = fmt.Fprintf(env.Stdout, "; base\n%s\n; overlay\n%s\n", row.Base, row.Overlay)
	}
}
