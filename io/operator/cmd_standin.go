package operator

import (
	"bramleythread/core/config"
)

var cmdStandin = &Command{
	Name:        "standin",
	Description: "Runs a stand-in of the platform or of an upstream",
	Args:        "-role platform|upstream -settings FILE",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("standin", env)
		role := fs.String("role", "", "platform or upstream")
		file := fs.String("settings", "", "settings `FILE` of this process")
		if err := parseFlags(env, fs, args, 0); err != nil {
			return err
		}
		r := config.Role(*role)
		if r != config.RolePlatform && r != config.RoleUpstream {
			return &UsageError{Reason: "-role is neither platform nor upstream"}
		}
		s, err := loadSettings(r, *file)
		if err != nil {
			return err
		}
		log := newLogger(env, s.Log.Level)
		return runProcess(log, func() (process, error) {
			if r == config.RolePlatform {
				return asProcess(startPlatformStandin(s, log.Logger))
			}
			return asProcess(startUpstreamStandin(s, log.Logger))
		})
	},
}

// asProcess returns a nil interface on error, not one that holds a nil pointer.
func asProcess[P process](p P, err error) (process, error) {
	if err != nil {
		return nil, err
	}
	return p, nil
}
