package worker

import (
	"context"
	"time"

	"bramleythread/core/pace"
	"bramleythread/io/wire"
)

// Times of pacing.
const (
	// paceLook is the time between two looks at a worker where work that fills
	// runs beside work that serves: its figures are of the last half second.
	paceLook = 450 * time.Millisecond

	// paceAgain is the time after which a pace is set again: an earlier call
	// without an answer may have been carried out since.
	paceAgain = 2 * time.Second
)

// pacer keeps the pace of the work that fills on the worker.
type pacer struct {
	controller pace.Controller
	looked     time.Time // of the newest look that the controller has taken in
	set        map[wire.TaskRun]paced
}

// paced is the pace that a run was told to keep.
type paced struct {
	percent int
	at      time.Time
	calling bool // the worker has not answered yet
}

// sharing reports whether work that fills runs beside work that serves.
func (a *Agent) sharing() bool {
	serves, fills := false, false
	for _, s := range a.orders.Shared {
		serves = serves || s.TargetLatency > 0
		fills = fills || s.UsesSpareCPU
	}
	return serves && fills
}

// paceRuns takes in a look at the worker and sets the pace of the work that fills
// anew where it has changed.
func (a *Agent) paceRuns(looked time.Time) {
	if len(a.orders.Shared) == 0 && len(a.pacer.set) == 0 {
		return
	}
	var serving []pace.LatencySample
	fills := make(map[wire.TaskRun]bool)
	for _, s := range a.orders.Shared {
		r := wire.TaskRun{Task: s.Task, Run: s.Run}
		t, there := a.running[r]
		switch {
		case !there:
		case s.UsesSpareCPU:
			fills[r] = true
		case s.TargetLatency > 0:
			serving = append(serving, pace.LatencySample{Latency: time.Duration(t.Load) * time.Millisecond, Target: s.TargetLatency})
		}
	}
	if looked.Sub(a.pacer.looked) >= paceLook*9/10 {
		before := a.pacer.controller.Percent()
		a.pacer.looked = looked
		if percent := a.pacer.controller.Update(serving); percent != before {
			a.cfg.Log.Info().Int("percent", percent).Int("before", before).Int("serving", len(serving)).Int("filling", len(fills)).Msg("pace")
		}
	}
	for r := range a.pacer.set {
		if !fills[r] {
			delete(a.pacer.set, r)
		}
	}
	for r := range fills {
		a.setPace(r, a.pacer.controller.Percent())
	}
}

// setPace tells the worker the pace of one run, unless it knows.
func (a *Agent) setPace(r wire.TaskRun, percent int) {
	now := time.Now()
	p, known := a.pacer.set[r]
	if p.calling || known && p.percent == percent && (percent == 100 || now.Sub(p.at) < paceAgain) {
		return
	}
	a.pacer.set[r] = paced{percent: percent, at: now, calling: true}
	o := PaceRequest{TaskRun: r, Instance: a.info.Instance, Token: a.token(), Percent: percent}
	a.wg.Add(1)
	go a.callPace(o)
}

func (a *Agent) callPace(o PaceRequest) {
	defer a.wg.Done()
	err := a.call(func(ctx context.Context) error { return a.cfg.Worker.Pace(ctx, o) })
	a.mu.Lock()
	defer a.mu.Unlock()
	p, known := a.pacer.set[o.TaskRun]
	if !known {
		return
	}
	p.calling = false
	if err != nil {
		a.cfg.Log.Info().Str("job", o.Task.Job).Int("run", o.Run).Int("percent", o.Percent).Err(err).Msg("pace_not_set")
		delete(a.pacer.set, o.TaskRun) // set again at the next look
		return
	}
	a.pacer.set[o.TaskRun] = p
}
