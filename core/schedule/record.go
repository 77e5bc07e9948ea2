package schedule

import (
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// Op names a method of Scheduler that changes its state.
type Op string

// Operations, as they are written to traces.
const (
	OpReport           Op = "report"
	OpMarkDown         Op = "gone"
	OpRemoveStale      Op = "forget"
	OpSubmit           Op = "submit"
	OpCancel           Op = "cancel"
	OpRequeueRefused   Op = "refused"
	OpSetFree          Op = "set_free"
	OpExclude          Op = "exclude"
	OpRetry            Op = "retry"
	OpFinishJob        Op = "ended"
	OpRequeuePreempted Op = "preempted"
	OpWorkerSucceeded  Op = "succeeded"
	OpWorkerFailed     Op = "failed"
	OpPlan             Op = "plan"
	OpConfig           Op = "config"
	OpTick             Op = "tick"
)

// Call is a recorded method call with its arguments and, for a tick, the resulting
// decisions. Applying the calls of a trace to a new scheduler with the same policy
// gives the same decisions.
type Call struct {
	Op        Op             `json:"op"`
	Now       time.Time      `json:"now"`
	Job       string         `json:"job,omitempty"`
	Worker    string         `json:"worker,omitempty"`
	At        time.Time      `json:"at,omitzero"`
	Succeeded bool           `json:"well,omitempty"`
	Spec      *Spec          `json:"spec,omitempty"`
	Report    *WorkerReport  `json:"report,omitempty"`
	Free      *config.Demand `json:"free,omitempty"`
	Plan      *plan.Plan     `json:"plan,omitempty"`
	Config    *config.Config `json:"config,omitempty"`
	Decisions []Decision     `json:"decisions,omitempty"`
}

// record passes a call to Record, if it is set.
func (s *Scheduler) record(c Call) {
	if s.Record != nil {
		s.Record(c)
	}
}

// Apply replays a recorded call and returns the decisions if it is a tick.
func (s *Scheduler) Apply(c Call) []Decision {
	switch c.Op {
	case OpReport:
		s.Report(*c.Report, c.Now)
	case OpMarkDown:
		s.MarkDown(c.Worker)
	case OpRemoveStale:
		s.RemoveStaleWorkers(c.At)
	case OpSubmit:
		s.Submit(*c.Spec, c.Now)
	case OpCancel:
		s.Cancel(c.Job)
	case OpRequeueRefused:
		s.RequeueRefused(c.Job, c.Worker, c.Free, c.Now)
	case OpSetFree:
		s.SetFree(c.Worker, *c.Free)
	case OpExclude:
		s.Exclude(c.Job, c.Worker)
	case OpRetry:
		s.Retry(c.Job, c.At)
	case OpFinishJob:
		s.FinishJob(c.Job, c.Succeeded, c.Now)
	case OpTick:
		return s.Tick(c.Now)
	default:
		s.applyOther(c)
	}
	return nil
}

func (s *Scheduler) applyOther(c Call) {
	switch c.Op {
	case OpRequeuePreempted:
		s.RequeuePreempted(c.Job, c.Now)
	case OpWorkerSucceeded:
		s.WorkerSucceeded(c.Worker)
	case OpWorkerFailed:
		s.WorkerFailed(c.Worker, c.Now)
	case OpPlan:
		s.SetPlan(c.Plan)
	case OpConfig:
		s.SetConfig(c.Config)
	}
}
