package operator

import (
	"fmt"
	"net/http"
)

var cmdDrain = &Command{
	Name:        "drain",
	Description: "Takes a worker out of service; what runs on it goes on",
	Args:        "[-settings FILE] WORKER",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("drain", env)
		settings := addSettingsFlag(fs)
		if err := parseFlags(env, fs, args, 1); err != nil {
			return err
		}
		s, err := loadOperatorSettings(env, *settings)
		if err != nil {
			return err
		}
		if err := callEntry(s, http.MethodPost, "/v1/workers/"+escape(fs.Arg(0))+"/drain", nil); err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.Stdout, "%s takes no new work\n", fs.Arg(0))
		return err
	},
}
