package trace

import (
	"encoding/json"
	"fmt"

	"bramleythread/core/schedule"
)

// DecisionMismatchError reports the first call whose decisions differ from the
// recorded ones. Got and Want are JSON.
type DecisionMismatchError struct {
	Call int // starting at 1
	Got  string
	Want string
}

// Error describes the difference.
func (e *DecisionMismatchError) Error() string {
	return fmt.Sprintf("trace: call %d decides %s, recorded %s", e.Call, e.Got, e.Want)
}

// VerifyDecisions replays the calls of a decision trace on a new scheduler and
// compares the decisions of each call with the recorded ones, byte for byte. It
// returns the number of calls made, and a *DecisionMismatchError at the first
// difference.
func (t *Trace) VerifyDecisions(policy schedule.Policy) (calls int, err error) {
	s := schedule.New(policy)
	for _, e := range t.Events {
		if e.Kind != SchedulerCall {
			continue
		}
		calls++
		got, err := json.Marshal(s.Apply(*e.Call))
		if err != nil {
			return calls, err
		}
		want, err := json.Marshal(e.Call.Decisions)
		if err != nil {
			return calls, err
		}
		if string(got) != string(want) {
			return calls, &DecisionMismatchError{Call: calls, Got: string(got), Want: string(want)}
		}
	}
	return calls, nil
}
