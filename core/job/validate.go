package job

import (
	"fmt"
	"math"
	"time"

	"bramleythread/io/wire"
)

// Limits of a job, from the users' platform and the capacity of the tables.
const (
	MaxSpecBytes      = 4000
	MaxSteps          = 64
	MaxTasks          = 2000 // in all steps of one occurrence
	MaxOccurrences    = 1000
	maxResourceAmount = 1 << 30 // of any resource, MaxPerWorker or MaxUnavailable
	maxTextBytes      = 200     // of a label, rack or image

	maxYear = 9999 // of the first run

	// maxStepTime bounds the times of a step. Sums over the steps of a job, multiplied
	// by the factors for distance and stretch, must fit into a time.Duration.
	maxStepTime = 90 * 24 * time.Hour

	// MaxRowBytes is the maximum size of a job's row. It is below the users' limit
	// of 64 KiB to leave room for what an entry adds.
	MaxRowBytes = 60 << 10
)

// InvalidError describes why a job is not accepted.
type InvalidError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *InvalidError) Error() string { return e.Field + ": " + e.Reason }

// Validate checks a submitted job. It returns an *InvalidError.
func Validate(j *wire.Job) error {
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return &InvalidError{Field: "spec", Reason: fmt.Sprintf("longer than %d bytes", MaxSpecBytes)}
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return &InvalidError{Field: "steps", Reason: fmt.Sprintf("needs 1 to %d steps", MaxSteps)}
	case j.RepeatCount < 0 || j.RepeatCount > MaxOccurrences:
		return &InvalidError{Field: "repeat", Reason: fmt.Sprintf("needs 0 to %d", MaxOccurrences)}
	case j.Interval < 0 || j.Interval > math.MaxInt64/time.Duration(max(j.RepeatCount, 1)):
		return &InvalidError{Field: "interval", Reason: "is out of range"}
	case j.RepeatCount > 0 && j.FirstRun.Year() > maxYear:
		return &InvalidError{Field: "first_run", Reason: "is out of range"}
	}
	tasks := 0
	for i := range j.Steps {
		if err := validateStep(&j.Steps[i], i); err != nil {
			return err
		}
		if tasks += j.Steps[i].Count; tasks > MaxTasks {
			return &InvalidError{Field: "steps", Reason: fmt.Sprintf("have more than %d tasks", MaxTasks)}
		}
	}
	row, err := j.MarshalMsg(nil)
	if err != nil {
		return &InvalidError{Field: "job", Reason: err.Error()}
	}
	if len(row) > MaxRowBytes {
		return &InvalidError{Field: "job", Reason: fmt.Sprintf("takes %d bytes, limit %d", len(row), MaxRowBytes)}
	}
	return nil
}

func validateStep(s *wire.JobStep, i int) error {
	field := fmt.Sprintf("steps[%d]", i)
	if s.Count < 1 || s.Count > MaxTasks {
		return &InvalidError{Field: field + ".count", Reason: fmt.Sprintf("needs 1 to %d tasks", MaxTasks)}
	}
	for _, n := range []int{s.Demand.CPU, s.Demand.Memory, s.Demand.Accelerators, s.MaxPerWorker, s.MaxUnavailable} {
		if n < 0 || n > maxResourceAmount {
			return &InvalidError{Field: field, Reason: "has an amount out of range"}
		}
	}
	for _, d := range []time.Duration{s.Estimate, s.TargetLatency} {
		if d < 0 || d > maxStepTime {
			return &InvalidError{Field: field, Reason: "has a time out of range"}
		}
	}
	for _, text := range []string{s.RequiredLabel, s.DataRack, s.Image} {
		if len(text) > maxTextBytes {
			return &InvalidError{Field: field, Reason: fmt.Sprintf("has a name longer than %d bytes", maxTextBytes)}
		}
	}
	if len(s.After) > i {
		return &InvalidError{Field: field + ".after", Reason: "names a step twice"}
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= i {
			return &InvalidError{Field: field + ".after", Reason: "names no earlier step"}
		}
	}
	return nil
}
