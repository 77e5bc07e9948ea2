package emulate

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"bramleythread/core/job"

	"github.com/matryer/is"
)

// seedsPerScenario is the number of seeds simulated per scenario. Experiments
// run by hand use fifty.
const seedsPerScenario = 8

// minSurgeGain is how many times as much of the value offered in surges the
// present policy must earn as first come, first served with first fit.
const minSurgeGain = 1.5

func TestPolicyEarnsMoreInSurgesThanFCFS(t *testing.T) {
	files, err := filepath.Glob("../../examples/scenarios/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, err := Load(file)
			is.NoErr(err)
			var present, base float64
			for seed := range uint64(seedsPerScenario) {
				present += Simulate(s, job.Policies["present"], seed).SurgeShare
				base += Simulate(s, job.Policies["fcfs"], seed).SurgeShare
			}
			if present < minSurgeGain*base {
				t.Errorf("share earned in surges: %.3f, first come first served %.3f", present/seedsPerScenario, base/seedsPerScenario)
			}
		})
	}
}

func TestSimulateIsDeterministic(t *testing.T) {
	is := is.New(t)
	s, err := Load("../../examples/scenarios/chaophraya.ini")
	is.NoErr(err)
	first, second := Simulate(s, job.Policy{}, 7), Simulate(s, job.Policy{}, 7)
	is.Equal(first, second)
	is.True(first.Jobs > 0 && first.EarnedValue > 0)
	is.True(first.EarnedValue <= first.OfferedValue)
}

// TestLightLoadMeetsObjectives simulates a load far below the capacity of the
// fleet: no job may fail or stay open, and almost the full value must be earned.
func TestLightLoadMeetsObjectives(t *testing.T) {
	is := is.New(t)
	s, err := Load("../../examples/scenarios/chaophraya.ini")
	is.NoErr(err)
	s.Surges, s.Faults = nil, nil
	for i := range s.Kinds {
		s.Kinds[i].RequestRate /= 8
		s.Kinds[i].FailureShare, s.Kinds[i].ImpossibleShare, s.Kinds[i].MaxTasks = 0, 0, 3
	}
	for seed := range uint64(seedsPerScenario) {
		o := Simulate(s, job.Policy{}, seed)
		is.Equal(o.OpenJobs, 0)
		is.Equal(o.FailedJobs, 0)
		is.True(o.EarnedShare() > 0.95)
	}
}

func TestLoadRejectsInvalidScenarios(t *testing.T) {
	tests := map[string]string{
		"a word for a number":   "[scenario]\nworkers = many\nrack = 3\n[kind a]\nper_second = 1\n",
		"no unit of time":       "[scenario]\nworkers = 3\nrack = 3\nlength = 60\n[kind a]\nper_second = 1\n",
		"a list with a word":    "[scenario]\nworkers = 3\nrack = 3\n[kind a]\naccelerators = 1,two\n",
		"no kind of request":    "[scenario]\nworkers = 3\nrack = 3\n",
		"not a scenario at all": "\x00[",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "s.ini")
			is.NoErr(os.WriteFile(file, []byte(text), 0o600))
			_, err := Load(file)
			is.True(err != nil)
			var field *FieldError
			if errors.As(err, &field) {
				is.True(field.Key != "")
			}
		})
	}
}
