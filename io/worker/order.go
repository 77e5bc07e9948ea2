package worker

import (
	"context"
	"errors"
	"time"

	"bramleythread/io/wire"
)

// carryOut starts a run, or stops it, and goes on until the worker has given a
// definite answer. A start that is given up is always followed by a stop, since
// an earlier try of it may take effect later.
func (a *Agent) carryOut(r wire.TaskRun, p *pending, s wire.StartTask, life uint64) {
	defer a.wg.Done()
	for a.ctx.Err() == nil {
		a.mu.Lock()
		gone := a.life != life || a.pending[r] != p || a.info.State == wire.WorkerGone
		stop := p.stop
		o := StartRequest{StartTask: s, Instance: a.info.Instance, Token: a.token(), LeaseEnd: a.lease(time.Now())}
		a.mu.Unlock()
		var err error
		switch {
		case gone:
			return
		case stop:
			err = a.call(func(ctx context.Context) error {
				return a.cfg.Worker.Stop(ctx, StopRequest{TaskRun: r, Instance: o.Instance, Token: o.Token})
			})
		case o.LeaseEnd == 0:
			err = &RefusedError{Reason: "no_grant"}
		default:
			err = a.call(func(ctx context.Context) error { return a.cfg.Worker.Start(ctx, o) })
		}
		if a.answered(r, p, stop, err) {
			return
		}
		time.Sleep(retryPause)
	}
}

func (a *Agent) call(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return f(ctx)
}

// answered takes in the outcome of a call and reports whether the order is
// carried out.
func (a *Agent) answered(r wire.TaskRun, p *pending, stop bool, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *RefusedError
	switch {
	case err == nil && stop:
		p.stopped, p.settled = true, time.Now()
		a.cfg.Log.Info().Str("job", r.Task.Job).Int("step", r.Task.Step).Int("index", r.Task.Index).Int("run", r.Run).Str("reason", p.reason).Msg("run_stopped")
		a.look()
		return true
	case err == nil:
		a.cfg.Log.Info().Str("job", r.Task.Job).Int("step", r.Task.Step).Int("index", r.Task.Index).Int("run", r.Run).Uint64("token", a.token()).Msg("run_started")
		if p.stop {
			return false
		}
		delete(a.pending, r)
		a.running[r] = wire.RunningTask{Task: r.Task, Run: r.Run}
		a.startedAt[r] = time.Now()
		a.report()
		return true
	case errors.As(err, &refused) && !stop:
		a.cfg.Log.Info().Str("job", r.Task.Job).Int("step", r.Task.Step).Int("index", r.Task.Index).Int("run", r.Run).Str("reason", refused.Reason).Msg("start_refused")
		p.stop, p.reason = true, refused.Reason
		return false
	default:
		a.cfg.Log.Debug().Str("job", r.Task.Job).Int("run", r.Run).Bool("stop", stop).Err(err).Msg("no_answer")
		return false
	}
}

// settle ends the stops whose outcome a look at the worker shows: the run is
// neither there nor has it ended, so it will never start.
func (a *Agent) settle(looked time.Time) {
	for r, p := range a.pending {
		if !p.stopped || !looked.After(p.settled) {
			continue
		}
		if _, there := a.running[r]; there {
			continue
		}
		delete(a.pending, r)
		if !a.hasEnded(r) {
			a.refused[r] = p.reason
		}
	}
}

func (a *Agent) hasEnded(r wire.TaskRun) bool {
	for _, e := range a.ended {
		if e.Task == r.Task && e.Run == r.Run {
			return true
		}
	}
	return false
}
