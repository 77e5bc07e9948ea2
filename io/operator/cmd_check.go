package operator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"bramleythread/core/config"
	"bramleythread/core/plan"
	"bramleythread/io/caller"
	adapter "bramleythread/platform"
)

var cmdCheck = &Command{
	Name:        "check",
	Description: "Validates a configuration, prints every finding, the plan and what would change",
	Args:        "-base FILE [-overlay FILE] [-settings FILE] [-json] | -boot FILE",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("check", env)
		base := fs.String("base", "", "base configuration `FILE`")
		overlay := fs.String("overlay", "", "overlay `FILE` of the site")
		settings := fs.String("settings", "", "operator's settings `FILE`; compares with the version in force")
		asJSON := fs.Bool("json", false, "print the findings and differences as JSON")
		boot := fs.String("boot", "", "settings `FILE` of the users' platform")
		if err := parseFlags(env, fs, args, 0); err != nil {
			return err
		}
		if *boot != "" {
			if *settings != "" || *asJSON {
				return &UsageError{Reason: "-boot takes neither -settings nor -json"}
			}
			return checkPlatformSettings(env, *boot)
		}
		r, err := checkConfig(env, *base, *overlay, *settings)
		if err != nil {
			return err
		}
		if *asJSON {
			err = r.printJSON(env.Stdout)
		} else {
			r.printText(env)
		}
		if err == nil && len(r.Findings) > 0 {
			err = &ReportedError{}
		}
		return err
	},
}

// readSources reads the base file and, if given, the overlay.
func readSources(base, overlay string) ([]config.Source, error) {
	if base == "" {
		return nil, &UsageError{Reason: "-base FILE is required"}
	}
	var sources []config.Source
	for _, name := range []string{base, overlay} {
		if name == "" {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "configuration")
		}
		sources = append(sources, config.Source{Name: name, Text: text})
	}
	return sources, nil
}

// checkSources parses a configuration and computes its plan on the nominal
// fleet, which has all workers of the configured racks. Guarantees that do not
// fit are reported as faults of their sections.
func checkSources(sources []config.Source) (*config.Config, *plan.Plan, error) {
	cfg, err := config.Parse(sources...)
	if err != nil {
		return nil, nil, err
	}
	p, err := plan.Check(cfg)
	var infeasible *plan.InfeasibleError
	if errors.As(err, &infeasible) {
		return nil, nil, guaranteeFaults(sources, infeasible.Missing)
	}
	return cfg, p, err
}

// guaranteeFaults returns one fault for each guarantee with missing homes. A home
// is the set of workers that one instance of a guaranteed shape is bound to.
func guaranteeFaults(sources []config.Source, missing []plan.Missing) error {
	e := &config.FaultsError{}
	for i := 0; i < len(missing); {
		m, n := missing[i], 1
		for i+n < len(missing) && missing[i+n].Customer == m.Customer && missing[i+n].Shape == m.Shape {
			n++
		}
		i += n
		name := fmt.Sprintf("guarantee %s %s", m.Customer, m.Shape)
		file, line, _ := config.SectionLocation(sources, name)
		e.Faults = append(e.Faults, config.Fault{
			File:   file,
			Line:   line,
			Key:    name + ".count",
			Reason: fmt.Sprintf("%d of the shapes %q do not fit on the racks beside the other guarantees", n, m.Shape),
		})
	}
	return e
}

func printPlan(w io.Writer, cfg *config.Config, p *plan.Plan) {
	_, _ = fmt.Fprintf(w, "%s: %d customers, %d services, %d workers, %d homes\n",
		cfg.Deployment, len(cfg.Customers), len(cfg.Services), len(plan.NominalFleet(cfg)), len(p.Homes))
	for i := 0; i < len(p.Homes); {
		h, n := p.Homes[i], 1
		for i+n < len(p.Homes) && sameExceptInstance(h, p.Homes[i+n]) {
			n++
		}
		i += n
		_, _ = fmt.Fprintf(w, "  %s: %d x %s, %d accelerators and %d slots on each of %s\n",
			h.Customer, n, h.Shape, h.Demand.Accelerators, h.Demand.Slots, strings.Join(h.Workers, " "))
	}
}

// sameExceptInstance reports whether two homes differ at most in their instance.
func sameExceptInstance(a, b plan.Home) bool {
	return a.Customer == b.Customer && a.Shape == b.Shape && slices.Equal(a.Workers, b.Workers)
}

// checkPlatformSettings validates a settings file of the users' platform and
// prints the settings that a process would use.
func checkPlatformSettings(env Env, file string) error {
	s, err := adapter.LoadSettings(file)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(env.Stdout, "%s in %s at %s: peers %s, store %s\n", s.Node, s.Zone, s.Address, s.Peers, s.Store)
	_, _ = fmt.Fprintf(env.Stdout, "  callers %s, readiness %s, agent %s, worker %s, advice %s\n", s.Callers, s.Readiness, s.Agent, s.Worker, s.Advice)
	_, _ = fmt.Fprintf(env.Stdout, "  states kept for %s, revocation within %s, cancellation within %s, evacuation within %s, stop within %s, far work %gx, %d MiB\n",
		s.Retention, caller.RevocationLimit(s.RevocationLimit, s.RevocationStrict), s.CancelLimit, s.EvacuationLimit, s.TerminationGrace, s.RackFactor, s.MemoryBytes>>20)
	return nil
}
