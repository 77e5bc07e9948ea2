package operator

import (
	"flag"

	"bramleythread/core/config"
	"bramleythread/io/platform"
	adapter "bramleythread/platform"
)

var cmdEntry = &Command{
	Name:        "entry",
	Description: "Runs an entry: takes in callers' requests, queues and places them",
	Args:        "-settings FILE | -boot",
	Action: func(env Env, args []string) error {
		s, boot, err := roleSettings(env, "entry", config.RoleEntry, args)
		if err != nil {
			return err
		}
		if boot {
			return runOnPlatform(env, config.RoleEntry)
		}
		log := newLogger(env, s.Log.Level)
		return runProcess(log, func() (process, error) {
			c := platform.NewClient(s.Store)
			p, err := startEntry(s, c.Store(), log.Logger)
			if err != nil {
				return nil, err
			}
			p.store = c
			return p, nil
		})
	},
}

// cmdFlags returns the flag set of the named command. A command cannot refer to
// its own variable: that would be an initialization cycle.
func cmdFlags(name string, env Env) *flag.FlagSet {
	for _, c := range Commands {
		if c.Name == name {
			return c.flags(env)
		}
	}
	return nil
}

// roleSettings parses the arguments of a role's command and reads its settings.
// boot reports whether the process is to run on the users' platform, which has
// its own settings file.
func roleSettings(env Env, name string, role config.Role, args []string) (s *config.Settings, boot bool, err error) {
	fs := cmdFlags(name, env)
	file := fs.String("settings", "", "settings `FILE` of this process")
	fs.BoolVar(&boot, "boot", false, "run on the users' platform, by the file that "+adapter.SettingsVariable+" names")
	if err := parseFlags(env, fs, args, 0); err != nil {
		return nil, false, err
	}
	if boot {
		return nil, true, nil
	}
	s, err = loadSettings(role, *file)
	return s, false, err
}
