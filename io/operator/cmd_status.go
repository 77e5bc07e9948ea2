package operator

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"text/tabwriter"
	"time"

	"bramleythread/io/caller"
	"bramleythread/io/wire"
)

var cmdStatus = &Command{
	Name:        "status",
	Description: "Shows an entry's view of the workers, the queue and the plan, or the pool of a scheduler",
	Args:        "[-settings FILE] | -entry ADDRESS",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("status", env)
		settings := addSettingsFlag(fs)
		entry := addEntryFlag(fs)
		if err := parseFlags(env, fs, args, 0); err != nil {
			return err
		}
		if *entry != "" {
			var pool wire.StatusAnswer
			if err := getMetricsPath(*entry, caller.SchedulerStatusPath, &pool); err != nil {
				return err
			}
			printPool(env.Stdout, pool)
			return nil
		}
		s, err := loadOperatorSettings(env, *settings)
		if err != nil {
			return err
		}
		var status caller.Status
		if err := callEntry(s, http.MethodGet, "/v1/status", &status); err != nil {
			return err
		}
		printStatus(env.Stdout, status)
		return nil
	},
}

func printStatus(out io.Writer, s caller.Status) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintf(w, "entry %s: ready %t, config %d by %s at %s, plan %d, queued %d, fragmentation %.2f\n",
		s.Entry, s.Ready, s.ConfigVersion, s.ConfigAuthor, s.ConfigTime.Format(time.RFC3339), s.PlanVersion, s.Queued, s.Fragmentation)
	for _, m := range s.Missing {
		_, _ = fmt.Fprintf(w, "no home: %s %s %d\n", m.Customer, m.Shape, m.Instance+1)
	}
	_, _ = fmt.Fprintln(w, "WORKER\tZONE\tRACK\tSTATE\tACCELERATORS\tSLOTS\tPLAN")
	for _, x := range s.Workers {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d/%d\t%d\n", x.Name, x.Zone, x.Rack, workerState(x),
			x.Free.Accelerators, x.Capacity.Accelerators, x.Free.Slots, x.Capacity.Slots, x.PlanVersion)
	}
}

func workerState(w caller.WorkerStatus) string {
	switch {
	case w.Draining:
		return "draining"
	case w.Ejected:
		return "ejected"
	case w.Usable:
		return "ready"
	default:
		return "gone"
	}
}

// printPool prints a scheduler's status and its view of the workers.
func printPool(out io.Writer, p wire.StatusAnswer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintf(w, "scheduler %s, epoch %d, lease written %s ago, offered %t, %d jobs, %d stages wait\n",
		p.Scheduler, p.Epoch, p.LeaseAge.Round(time.Millisecond), p.Offered, p.Jobs, p.Waiting)
	printEvacuation(w, p)
	_, _ = fmt.Fprintln(w, "NODE\tSERVICE\tZONE\tRACK\tSTATE\tHEARD\tACCELERATORS\tCORES\tRUNS\tEJECTED\tSLOWNESS")
	for _, x := range p.Workers {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%d/%d\t%d\t%s\t%s\n", x.Node, x.Service, x.Zone, x.Rack, x.State,
			x.Heard.Round(time.Millisecond), x.Used.Accelerators, x.Capacity.Accelerators, x.Used.CPU/1000, x.Capacity.CPU/1000,
			x.Runs, x.Ejected.Round(time.Millisecond), formatSlowness(x))
	}
}

// printEvacuation prints the evacuated zones and how current they are.
func printEvacuation(w io.Writer, p wire.StatusAnswer) {
	if !p.EvacuationRead {
		_, _ = fmt.Fprintln(w, "evacuated zones have not been read yet")
		return
	}
	_, _ = fmt.Fprintf(w, "%d zones evacuated, as known %s ago\n", len(p.EvacuatedZones), p.EvacuationAge.Round(time.Millisecond))
	for _, z := range p.EvacuatedZones {
		_, _ = fmt.Fprintf(w, "zone %s is evacuated, known for %s\n", z.Zone, z.KnownFor.Round(time.Millisecond))
	}
}

// formatSlowness formats the factor of a worker with its range of one standard
// deviation.
func formatSlowness(x wire.WorkerStatus) string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", math.Exp(x.SlownessLog), math.Exp(x.SlownessLog-x.SlownessSigma), math.Exp(x.SlownessLog+x.SlownessSigma))
}
