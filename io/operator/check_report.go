package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"bramleythread/core/config"
	"bramleythread/core/plan"
	"bramleythread/io/platform"
)

// checkReport is the result of the check command.
type checkReport struct {
	Findings []config.Finding `json:"findings"`
	InForce  *checkComparison `json:"in_force,omitempty"` // nil if not compared

	cfg  *config.Config // nil if there are errors
	plan *plan.Plan
}

// checkComparison tells how a configuration differs from the version in force;
// version 0 means that none is.
type checkComparison struct {
	Version     uint64          `json:"version"`
	Author      string          `json:"author,omitempty"`
	Time        time.Time       `json:"time,omitzero"`
	Differences []config.Change `json:"differences"`
}

// checkConfig checks a configuration and, if it has no errors and settings are given,
// compares it with the version in force. A file with errors is not compared, because
// the part of it that cannot be read would count as removed.
func checkConfig(env Env, base, overlay, settings string) (*checkReport, error) {
	sources, err := readSources(base, overlay)
	var usage *UsageError
	if errors.As(err, &usage) {
		return nil, err
	}
	if err != nil {
		return nil, &UnreadableError{Err: err}
	}
	r := &checkReport{}
	r.cfg, r.plan, err = checkSources(sources)
	var faults *config.FaultsError
	if errors.As(err, &faults) {
		r.Findings = config.FindingsOf(config.SeverityError, faults.Faults)
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	r.Findings = config.FindingsOf(config.SeverityWarning, config.Warnings(r.cfg, sources...))
	if settings == "" {
		return r, nil
	}
	if r.InForce, err = compareInForce(env, settings, sources); err != nil {
		return nil, &UnreadableError{Err: err}
	}
	return r, nil
}

// compareInForce reads the version in force from the platform and compares it with
// the sources.
func compareInForce(env Env, settings string, sources []config.Source) (*checkComparison, error) {
	s, err := loadOperatorSettings(env, settings)
	if err != nil {
		return nil, err
	}
	if !s.Store.IsValid() {
		return nil, &config.FaultsError{Faults: []config.Fault{{File: settings, Line: 1, Key: "store.address", Reason: "missing"}}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	c := platform.NewClient(s.Store)
	defer c.Close()
	row, _, err := platform.LoadConfig(ctx, c.Store())
	if err != nil {
		return nil, err
	}
	changes, err := config.Differences(row.Sources(), sources)
	if err != nil {
		return nil, eris.Wrapf(err, "version %d in force", row.Version)
	}
	return &checkComparison{Version: row.Version, Author: row.Author, Time: row.Time, Differences: changes}, nil
}

func (r *checkReport) printJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// printText prints the findings to the error output, and the plan and the differences
// to the output.
func (r *checkReport) printText(env Env) {
	for _, f := range r.Findings {
		if f.Severity == config.SeverityWarning {
			f.Reason = "warning: " + f.Reason
		}
		_, _ = fmt.Fprintln(env.Stderr, f.Fault)
	}
	if r.cfg != nil {
		printPlan(env.Stdout, r.cfg, r.plan)
	}
	if r.InForce != nil {
		r.InForce.print(env.Stdout)
	}
}

func (c *checkComparison) print(w io.Writer) {
	if c.Version == 0 {
		_, _ = fmt.Fprintf(w, "no version is in force: %d differences\n", len(c.Differences))
	} else {
		_, _ = fmt.Fprintf(w, "version %d by %s at %s is in force: %d differences\n", c.Version, c.Author, c.Time.Format(time.RFC3339), len(c.Differences))
	}
	for _, x := range c.Differences {
		_, _ = fmt.Fprintf(w, "  %s\n", x)
	}
}
