package operator

import (
	"fmt"
	"net/http"
	"time"

	"bramleythread/core/estimate"
	"bramleythread/io/caller"
	"bramleythread/io/wire"
)

var cmdExplain = &Command{
	Name:        "explain",
	Description: "Tells why a request or a job went where it did",
	Args:        "[-settings FILE] REQUEST | -entry ADDRESS JOB",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("explain", env)
		settings := addSettingsFlag(fs)
		entry := addEntryFlag(fs)
		if err := parseFlags(env, fs, args, 1); err != nil {
			return err
		}
		if *entry != "" {
			return explainJob(env, *entry, fs.Arg(0))
		}
		s, err := loadOperatorSettings(env, *settings)
		if err != nil {
			return err
		}
		var x caller.Explanation
		if err := callEntry(s, http.MethodGet, "/v1/requests/"+escape(fs.Arg(0))+"/explanation", &x); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(env.Stdout, "%s of %s to %s: %s\n", x.Request, x.Customer, x.Service, x.Outcome)
		for _, step := range x.Steps {
			_, _ = fmt.Fprintf(env.Stdout, "%12s  %s\n", step.After, step.Text)
		}
		return nil
	},
}

// explainJob prints an entry's report on a durable job.
func explainJob(env Env, entry, id string) error {
	var r caller.JobReport
	if err := getMetricsPath(entry, caller.JobReportPath+escape(id), &r); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(env.Stdout, "job %s: %s\n", r.ID, r.Summary())
	_, _ = fmt.Fprintf(env.Stdout, "rows: stored %t, cancelled %t, state %q\n", r.Stored, r.Cancelled, r.RowState)
	for _, e := range []string{r.StoreErr, r.SchedulerErr} {
		if e != "" {
			_, _ = fmt.Fprintf(env.Stdout, "not reached: %s\n", e)
		}
	}
	x := r.Scheduler
	if x == nil {
		return nil
	}
	_, _ = fmt.Fprintf(env.Stdout, "scheduler %s, epoch %d\n", x.Scheduler, x.Epoch)
	for _, s := range x.Stages {
		_, _ = fmt.Fprintf(env.Stdout, "occurrence %d step %d: %d of %d tasks done, %d running %s\n", s.Occurrence, s.Step, s.Done, s.Tasks, s.Running, s.Waits)
	}
	for _, run := range x.Runs {
		_, _ = fmt.Fprintln(env.Stdout, formatRun(run))
	}
	for _, d := range x.Decisions {
		_, _ = fmt.Fprintln(env.Stdout, d)
	}
	return nil
}

// formatRun formats an active run, with the range in which its forecast expects 80 of
// 100 run times.
func formatRun(r wire.RunSummary) string {
	s := fmt.Sprintf("occurrence %d step %d index %d run %d on %s: %d%% after %s", r.Occurrence, r.Step, r.Index, r.Run, r.Worker, r.Percent, r.Elapsed.Round(time.Millisecond))
	if r.Expected > 0 {
		f := estimate.Forecast{Median: r.Expected, Sigma: r.Sigma}
		s += fmt.Sprintf(", placed for %s (%s to %s)", f.Median.Round(time.Millisecond), f.Quantile(0.1).Round(time.Millisecond), f.Quantile(0.9).Round(time.Millisecond))
	}
	if r.Remaining > 0 {
		s += fmt.Sprintf(", %s left", r.Remaining.Round(time.Millisecond))
	}
	return s
}
