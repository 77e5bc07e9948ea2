package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bramleythread/core/config"
	"bramleythread/io/platform"
)

// anyVersion makes publish replace the current version, whichever it is.
const anyVersion = -1

var cmdPublish = &Command{
	Name:        "publish",
	Description: "Checks a configuration and puts it in force",
	Args:        "[-settings FILE] -base FILE [-overlay FILE] [-author NAME] [-expect VERSION]",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("publish", env)
		settings := addSettingsFlag(fs)
		base := fs.String("base", "", "base configuration `FILE`")
		overlay := fs.String("overlay", "", "overlay `FILE` of the site")
		author := fs.String("author", env.Getenv("USER"), "`NAME` that others see")
		expect := fs.Int("expect", anyVersion, "`VERSION` that the change was made from")
		if err := parseFlags(env, fs, args, 0); err != nil {
			return err
		}
		sources, err := readSources(*base, *overlay)
		if err != nil {
			return err
		}
		if _, _, err := checkSources(sources); err != nil {
			return err
		}
		s, err := loadOperatorSettings(env, *settings)
		if err != nil {
			return err
		}
		version, err := publish(s, sources, *author, *expect)
		var conflict *platform.ConfigConflictError
		if errors.As(err, &conflict) {
			_, _ = fmt.Fprintf(env.Stderr, "not published: %v\n", conflict)
			return &ReportedError{}
		}
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.Stdout, "published version %d\n", version)
		return err
	},
}

func publish(s *config.Settings, sources []config.Source, author string, expect int) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	c := platform.NewClient(s.Store)
	defer c.Close()
	store := c.Store()
	from := uint64(max(expect, 0))
	if expect == anyVersion {
		current, _, err := platform.LoadConfig(ctx, store)
		if err != nil {
			return 0, err
		}
		from = current.Version
	}
	return platform.Publish(ctx, store, from, newConfigRow(sources, author))
}

func newConfigRow(sources []config.Source, author string) platform.ConfigRow {
	row := platform.ConfigRow{Author: author, Time: time.Now().UTC(), Base: string(sources[0].Text)}
	if len(sources) > 1 {
		row.Overlay = string(sources[1].Text)
	}
	return row
}
