package worker

import (
	"context"
	"time"

	"bramleythread/core/pace"
	"bramleythread/io/wire"
)

// Timing of pace changes.
const (
	// paceInterval is the time between two polls of a worker that background
	// and serving runs share. The latency that the worker reports is that of
	// the last half second.
	paceInterval = 450 * time.Millisecond

	// paceRefresh is the time after which a pace below 100 percent is set
	// again, because an earlier call without a response may have taken effect
	// since.
	paceRefresh = 2 * time.Second
)

// pacer controls the pace of background runs. Background runs are those of tasks
// with UsesSpareCPU (submitted with "fills"), which use the CPU time that other
// tasks leave idle. They slow down so that serving runs, which have a target
// latency, meet it.
type pacer struct {
	controller pace.Controller
	polledAt   time.Time // time of the latest poll passed to the controller
	applied    map[wire.TaskRun]paced
}

// paced is the pace last sent for a run.
type paced struct {
	percent int
	at      time.Time
	calling bool // the call is in progress
}

// sharesWorker reports whether background runs share the worker with serving
// runs.
func (a *Agent) sharesWorker() bool {
	serving, background := false, false
	for _, s := range a.orders.Shared {
		serving = serving || s.TargetLatency > 0
		background = background || s.UsesSpareCPU
	}
	return serving && background
}

// updatePaces passes the latest poll to the controller and sets the pace of
// background runs where it has changed.
func (a *Agent) updatePaces(polledAt time.Time) {
	if len(a.orders.Shared) == 0 && len(a.pacer.applied) == 0 {
		return
	}
	var serving []pace.LatencySample
	background := make(map[wire.TaskRun]bool)
	for _, s := range a.orders.Shared {
		r := wire.TaskRun{Task: s.Task, Run: s.Run}
		t, present := a.running[r]
		switch {
		case !present:
		case s.UsesSpareCPU:
			background[r] = true
		case s.TargetLatency > 0:
			serving = append(serving, pace.LatencySample{Latency: time.Duration(t.Load) * time.Millisecond, Target: s.TargetLatency})
		}
	}
	if polledAt.Sub(a.pacer.polledAt) >= paceInterval*9/10 {
		before := a.pacer.controller.Percent()
		a.pacer.polledAt = polledAt
		if percent := a.pacer.controller.Update(serving); percent != before {
			a.cfg.Log.Info().Int("percent", percent).Int("before", before).Int("serving", len(serving)).Int("filling", len(background)).Msg("pace")
		}
	}
	for r := range a.pacer.applied {
		if !background[r] {
			delete(a.pacer.applied, r)
		}
	}
	for r := range background {
		a.setPace(r, a.pacer.controller.Percent())
	}
}

// setPace sends the pace of one run to the worker unless the worker already
// has it.
func (a *Agent) setPace(r wire.TaskRun, percent int) {
	now := time.Now()
	p, known := a.pacer.applied[r]
	if p.calling || known && p.percent == percent && (percent == 100 || now.Sub(p.at) < paceRefresh) {
		return
	}
	a.pacer.applied[r] = paced{percent: percent, at: now, calling: true}
	o := PaceRequest{TaskRun: r, Instance: a.info.Instance, Token: a.token(), Percent: percent}
	a.wg.Add(1)
	go a.callPace(o)
}

func (a *Agent) callPace(o PaceRequest) {
	defer a.wg.Done()
	err := a.call(callTimeout, func(ctx context.Context) error { return a.cfg.Worker.Pace(ctx, o) })
	a.mu.Lock()
	defer a.mu.Unlock()
	p, known := a.pacer.applied[o.TaskRun]
	if !known {
		return
	}
	p.calling = false
	if err != nil {
		a.cfg.Log.Info().Str("job", o.Task.Job).Int("run", o.Run).Int("percent", o.Percent).Err(err).Msg("pace_not_set")
		delete(a.pacer.applied, o.TaskRun) // set again after the next poll
		return
	}
	a.pacer.applied[o.TaskRun] = p
}
