package job

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

func TestValidate(t *testing.T) {
	chain := func(steps int, spec string) wire.Job {
		j := wire.Job{Spec: spec}
		for i := range steps {
			s := step(1, 1)
			for before := range i {
				s.After = append(s.After, before)
			}
			s.RequiredLabel, s.DataRack, s.Image = strings.Repeat("l", maxTextBytes), strings.Repeat("r", maxTextBytes), strings.Repeat("i", maxTextBytes)
			j.Steps = append(j.Steps, s)
		}
		return j
	}
	one := func(change func(s *wire.JobStep)) wire.Job {
		s := step(1, 1)
		change(&s)
		return wire.Job{Steps: []wire.JobStep{s}}
	}
	tests := map[string]struct {
		job   wire.Job
		field string // empty if the job is valid
	}{
		"at all limits":       {job: chain(MaxSteps, strings.Repeat("s", MaxSpecBytes))},
		"no step":             {job: wire.Job{}, field: "steps"},
		"too many tasks":      {job: one(func(s *wire.JobStep) { s.Count = MaxTasks + 1 }), field: "steps[0].count"},
		"a step after itself": {job: one(func(s *wire.JobStep) { s.After = []int{0} }), field: "steps[0].after"},
		"too many preceding steps": {
			job:   wire.Job{Steps: []wire.JobStep{step(1, 1), {Count: 1, After: make([]int, 100000)}}},
			field: "steps[1].after",
		},
		"a long label":             {job: one(func(s *wire.JobStep) { s.RequiredLabel = strings.Repeat("l", 70000) }), field: "steps[0]"},
		"an estimate out of range": {job: one(func(s *wire.JobStep) { s.Estimate = math.MaxInt64 }), field: "steps[0]"},
		"a latency out of range":   {job: one(func(s *wire.JobStep) { s.TargetLatency = math.MaxInt64 }), field: "steps[0]"},
		"an interval whose sum is out of range": {
			job: wire.Job{RepeatCount: 1000, Interval: math.MaxInt64 / 999, Steps: []wire.JobStep{step(1, 1)}}, field: "interval",
		},
		"a first run out of range": {
			job: wire.Job{RepeatCount: 1, FirstRun: time.UnixMilli(math.MaxInt64), Steps: []wire.JobStep{step(1, 1)}}, field: "first_run",
		},
		"negative demand": {job: one(func(s *wire.JobStep) { s.Demand.CPU = -1 }), field: "steps[0]"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := Validate(&tt.job)
			var invalid *InvalidError
			is.Equal(errors.As(err, &invalid), tt.field != "")
			if invalid != nil {
				is.Equal(invalid.Field, tt.field)
			}
			if tt.field == "" {
				value, err := tt.job.MarshalMsg(nil)
				is.NoErr(err)
				is.True(len(value) <= storeRowLimit)
			}
		})
	}
}
