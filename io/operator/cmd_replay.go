package operator

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"bramleythread/core/schedule"
	"bramleythread/core/trace"
	"bramleythread/io/platform"
)

var cmdReplay = &Command{
	Name:        "replay",
	Description: "Replays a trace, compares it with its stated outcomes and prints the measures",
	Args:        "[-only] [-settings FILE -object] TRACE",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("replay", env)
		policyOnly := fs.Bool("only", false, "leave out the baselines")
		object := fs.Bool("object", false, "TRACE is a key of the object store, as an entry logs it")
		settings := addSettingsFlag(fs)
		if err := parseFlags(env, fs, args, 1); err != nil {
			return err
		}
		data, err := readTrace(env, fs.Arg(0), *settings, *object)
		if err != nil {
			return eris.Wrap(err, "trace")
		}
		t, err := trace.Read(bytes.NewReader(data))
		if err != nil {
			return err
		}
		if t.Header.Kind == trace.Decisions {
			return replayDecisions(env, t)
		}
		return replayWorkload(env, t, *policyOnly)
	},
}

// readTrace reads a trace from a file, or from the object store.
func readTrace(env Env, name, settings string, object bool) ([]byte, error) {
	if !object {
		return os.ReadFile(name)
	}
	s, err := loadOperatorSettings(env, settings)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	c := platform.NewClient(s.Store)
	defer c.Close()
	return c.Store().GetObject(ctx, name)
}

// replayDecisions repeats the recorded calls and compares the decisions with the
// recorded ones.
func replayDecisions(env Env, t *trace.Trace) error {
	calls, err := t.VerifyDecisions(schedule.DefaultPolicy())
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return &ReportedError{}
	}
	_, err = fmt.Fprintf(env.Stdout, "%d calls, the same decisions\n", calls)
	return err
}

// replayWorkload replays a workload under the default policy and, unless
// policyOnly is set, under the baselines. The measures of the default policy must
// meet the expected outcomes of the trace.
func replayWorkload(env Env, t *trace.Trace, policyOnly bool) error {
	policies := []struct {
		name   string
		policy schedule.Policy
	}{
		{"policy", schedule.DefaultPolicy()},
		{"previous", schedule.NonPreemptivePolicy()},
		{"fcfs", schedule.BaselinePolicy()},
	}
	if policyOnly {
		policies = policies[:1]
	}
	var results []*trace.Result
	for _, p := range policies {
		r, err := trace.Replay(t, p.name, p.policy)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	trace.PrintMeasures(env.Stdout, results)
	differences := t.UnmetOutcomes(results[0])
	for _, d := range differences {
		_, _ = fmt.Fprintf(env.Stderr, "difference: %s\n", d)
	}
	if len(differences) > 0 {
		return &ReportedError{}
	}
	return nil
}
