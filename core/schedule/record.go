package schedule

import (
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// Op names a call of a scheduler that changes its state.
type Op string

// Recorded calls.
const (
	OpReport    Op = "report"
	OpGone      Op = "gone"
	OpForget    Op = "forget"
	OpSubmit    Op = "submit"
	OpCancel    Op = "cancel"
	OpRefused   Op = "refused"
	OpSetFree   Op = "set_free"
	OpExclude   Op = "exclude"
	OpRetry     Op = "retry"
	OpEnded     Op = "ended"
	OpPreempted Op = "preempted"
	OpSucceeded Op = "succeeded"
	OpFailed    Op = "failed"
	OpPlan      Op = "plan"
	OpConfig    Op = "config"
	OpTick      Op = "tick"
)

// Call is one recorded call with its arguments and, for a tick, the decisions
// that came of it. Applied to a fresh scheduler of the same policy, the calls
// of a trace give the same decisions.
type Call struct {
	Op        Op             `json:"op"`
	Now       time.Time      `json:"now"`
	Job       string         `json:"job,omitempty"`
	Worker    string         `json:"worker,omitempty"`
	At        time.Time      `json:"at,omitzero"`
	Well      bool           `json:"well,omitempty"`
	Spec      *Spec          `json:"spec,omitempty"`
	Report    *WorkerReport  `json:"report,omitempty"`
	Free      *config.Demand `json:"free,omitempty"`
	Plan      *plan.Plan     `json:"plan,omitempty"`
	Config    *config.Config `json:"config,omitempty"`
	Decisions []Decision     `json:"decisions,omitempty"`
}

// record hands a call to the recorder, if there is one.
func (s *Scheduler) record(c Call) {
	if s.Record != nil {
		s.Record(c)
	}
}

// Apply makes a recorded call and returns the decisions of a tick.
func (s *Scheduler) Apply(c Call) []Decision {
	switch c.Op {
	case OpReport:
		s.Report(*c.Report, c.Now)
	case OpGone:
		s.Gone(c.Worker)
	case OpForget:
		s.Forget(c.At)
	case OpSubmit:
		s.Submit(*c.Spec, c.Now)
	case OpCancel:
		s.Cancel(c.Job)
	case OpRefused:
		s.Refused(c.Job, c.Worker, c.Free, c.Now)
	case OpSetFree:
		s.SetFree(c.Worker, *c.Free)
	case OpExclude:
		s.Exclude(c.Job, c.Worker)
	case OpRetry:
		s.Retry(c.Job, c.At)
	case OpEnded:
		s.Ended(c.Job, c.Well, c.Now)
	case OpTick:
		return s.Tick(c.Now)
	default:
		s.applyOther(c)
	}
	return nil
}

func (s *Scheduler) applyOther(c Call) {
	switch c.Op {
	case OpPreempted:
		s.Preempted(c.Job, c.Now)
	case OpSucceeded:
		s.Succeeded(c.Worker)
	case OpFailed:
		s.Failed(c.Worker, c.Now)
	case OpPlan:
		s.SetPlan(c.Plan)
	case OpConfig:
		s.SetConfig(c.Config)
	}
}
