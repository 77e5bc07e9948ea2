package operator

import (
	"bramleythread/core/config"
	"bramleythread/io/platform"
)

var cmdAgent = &Command{
	Name:        "agent",
	Description: "Runs an agent beside its upstream",
	Args:        "-settings FILE | -boot",
	Action: func(env Env, args []string) error {
		s, boot, err := roleSettings(env, "agent", config.RoleAgent, args)
		if err != nil {
			return err
		}
		if boot {
			return runOnPlatform(env, config.RoleAgent)
		}
		log := newLogger(env, s.Log.Level)
		return runProcess(log, func() (process, error) {
			c := platform.NewClient(s.Store)
			p, err := startAgent(s, c.Store(), log.Logger)
			if err != nil {
				return nil, err
			}
			p.store = c
			return p, nil
		})
	},
}
