package trace

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/core/schedule"
)

// testLength keeps the generated traces of the tests small.
const testLength = 4 * time.Minute

func TestReplayMeetsExpectedOutcomes(t *testing.T) {
	for name, deployment := range map[string]string{"puhkekapsel": "puhkekapsel", "chaophraya": "chaophraya"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				tr, err := Generate(deployment, seed+1, testLength)
				is.NoErr(err)
				r, err := Replay(tr, "policy", schedule.DefaultPolicy())
				is.NoErr(err)
				for _, d := range tr.UnmetOutcomes(r) {
					t.Errorf("seed %d: %s", seed+1, d)
				}
			}
		})
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	is := is.New(t)
	tr, err := Generate("puhkekapsel", 7, testLength)
	is.NoErr(err)
	var file bytes.Buffer
	is.NoErr(tr.Write(&file))
	read, err := Read(&file)
	is.NoErr(err)
	first, err := Replay(tr, "policy", schedule.DefaultPolicy())
	is.NoErr(err)
	second, err := Replay(read, "policy", schedule.DefaultPolicy())
	is.NoErr(err)
	is.Equal(first.Measures, second.Measures)
}

// TestPolicyReducesHeadOfLineBlocking guards against short jobs waiting behind
// long ones: the p99 of head-of-line blocking must be at most a twentieth of the
// baseline's.
func TestPolicyReducesHeadOfLineBlocking(t *testing.T) {
	is := is.New(t)
	tr, err := Generate("puhkekapsel", 1, DefaultDuration)
	is.NoErr(err)
	policy, err := Replay(tr, "policy", schedule.DefaultPolicy())
	is.NoErr(err)
	baseline, err := Replay(tr, "fcfs", schedule.BaselinePolicy())
	is.NoErr(err)
	is.True(20*policy.Measures["short_hol_p99"] <= baseline.Measures["short_hol_p99"])
}

func TestVerifyDecisionsMatchesRecordedCalls(t *testing.T) {
	is := is.New(t)
	tr, err := Generate("chaophraya", 2, testLength)
	is.NoErr(err)
	sim, err := newSimulation(tr, schedule.DefaultPolicy())
	is.NoErr(err)
	recorded := &Trace{Header: Header{Version: Version, Kind: Decisions}}
	sim.sched = schedule.New(schedule.DefaultPolicy())
	sim.sched.Record = func(c schedule.Call) {
		recorded.Events = append(recorded.Events, Event{Kind: SchedulerCall, Call: &c})
	}
	sim.sched.SetConfig(sim.cfg)
	sim.run(replayStart.Add(testLength))
	var file bytes.Buffer
	is.NoErr(recorded.Write(&file))
	read, err := Read(&file)
	is.NoErr(err)
	calls, err := read.VerifyDecisions(schedule.DefaultPolicy())
	is.NoErr(err)
	is.True(calls > 1000)
	other := schedule.DefaultPolicy()
	other.BestFit = false
	_, err = read.VerifyDecisions(other)
	is.True(err != nil) // a different policy must make different decisions
}
