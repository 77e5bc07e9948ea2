package operator

import (
	"context"
	"fmt"
	"net/http"

	"bramleythread/core/config"
	"bramleythread/io/platform"
)

var cmdDrain = &Command{
	Name:        "drain",
	Description: "Takes a worker or an availability zone out of service; what runs there goes on",
	Args:        "[-settings FILE] WORKER | [-settings FILE] -zone ZONE [-cancel]",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("drain", env)
		settings := addSettingsFlag(fs)
		zone := fs.String("zone", "", "`ZONE` in which durable jobs start nothing more")
		cancel := fs.Bool("cancel", false, "return the zone to service")
		if err := parseFlags(env, fs, args, anyOperands); err != nil {
			return err
		}
		switch {
		case *zone != "" && fs.NArg() > 0, *zone == "" && (fs.NArg() != 1 || *cancel):
			return &UsageError{Reason: "drain takes one worker, or a zone and no worker"}
		}
		s, err := loadOperatorSettings(env, *settings)
		if err != nil {
			return err
		}
		if *zone != "" {
			return drainZone(env, s, *zone, *cancel)
		}
		if err := callEntry(s, http.MethodPost, "/v1/workers/"+escape(fs.Arg(0))+"/drain", nil); err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.Stdout, "%s takes no new work\n", fs.Arg(0))
		return err
	},
}

// drainZone evacuates a zone, or returns it to service, on the project's own platform.
func drainZone(env Env, s *config.Settings, zone string, cancel bool) error {
	ctx, stop := context.WithTimeout(context.Background(), operatorTimeout)
	defer stop()
	c := platform.NewClient(s.Store)
	defer c.Close()
	if err := platform.SetEvacuated(ctx, c.Store(), zone, !cancel); err != nil {
		return err
	}
	text := "zone %s is evacuated\n"
	if cancel {
		text = "zone %s is in service\n"
	}
	_, err := fmt.Fprintf(env.Stdout, text, zone)
	return err
}
