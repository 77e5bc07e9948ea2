package worker

import (
	"context"
	"errors"
	"time"

	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// executeOrder starts or stops a run and retries until the worker has given a
// definite answer. A start that is abandoned is always followed by a stop,
// since an earlier attempt may take effect later.
func (a *Agent) executeOrder(r wire.TaskRun, p *pending, s wire.StartTask, lifetime uint64) {
	defer a.wg.Done()
	for a.ctx.Err() == nil {
		a.mu.Lock()
		gone := a.lifetime != lifetime || a.pending[r] != p || a.info.State == wire.WorkerGone
		stop, permission := p.stop, p.permission
		o := StartRequest{StartTask: s, Instance: a.info.Instance, Token: a.token(), LeaseEnd: a.leaseEnd(time.Now())}
		refusal := ""
		switch {
		case gone || stop:
		case o.LeaseEnd == 0:
			refusal = "no_grant"
		case permission.expired(a.cfg.BootTime()):
			refusal = reasonPermissionExpired
		default:
			a.startCalls++
			p.calls++
		}
		a.mu.Unlock()
		var err error
		switch {
		case gone:
			return
		case stop:
			err = a.call(callTimeout, func(ctx context.Context) error {
				return a.cfg.Worker.Stop(ctx, StopRequest{TaskRun: r, Instance: o.Instance, Token: o.Token})
			})
		case refusal != "":
			err = &RefusedError{Reason: refusal}
		default:
			err = a.call(permission.callTimeout(), func(ctx context.Context) error { return a.cfg.Worker.Start(ctx, o) })
			a.startReturned()
		}
		if a.handleOutcome(r, p, stop, err) {
			return
		}
		time.Sleep(retryDelay)
	}
}

func (a *Agent) startReturned() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startCalls--
	a.startReturnedAt = time.Now()
}

func (a *Agent) call(timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return f(ctx)
}

// handleOutcome applies the outcome of a call and reports whether the order is
// complete.
func (a *Agent) handleOutcome(r wire.TaskRun, p *pending, stop bool, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *RefusedError
	var down *DownError
	switch {
	case err == nil && stop:
		p.stopAcked, p.stopAckedAt = true, time.Now()
		a.logOrder(r, p).Str("reason", p.reason).Msg("run_stopped")
		a.requestPoll()
		return true
	case err == nil:
		a.logOrder(r, p).Uint64("token", a.token()).Msg("run_started")
		a.cfg.Metrics.startCalls.WithLabelValues(startAnswered).Inc()
		if p.stop {
			return false
		}
		delete(a.pending, r)
		a.running[r] = wire.RunningTask{Task: r.Task, Run: r.Run}
		a.unlistedStarts[r] = time.Now()
		a.report()
		return true
	case errors.As(err, &refused) && !stop:
		a.logOrder(r, p).Str("reason", refused.Reason).Msg("start_refused")
		a.cfg.Metrics.startCalls.WithLabelValues(startRefused).Inc()
		p.stop, p.reason = true, refused.Reason
		return false
	default:
		if !stop {
			a.cfg.Metrics.startCalls.WithLabelValues(startUnanswered).Inc()
		}
		p.unanswered = p.unanswered || !stop && !errors.As(err, &down)
		a.cfg.Log.Debug().Str("job", r.Task.Job).Int("run", r.Run).Bool("stop", stop).Err(err).Msg("no_answer")
		return false
	}
}

// logOrder begins a log line on an order: its run, the scheduler that gave it, and the start
// calls and the time since then.
func (a *Agent) logOrder(r wire.TaskRun, p *pending) *zerolog.Event {
	return a.cfg.Log.Info().Str("job", r.Task.Job).Int("step", r.Task.Step).Int("index", r.Task.Index).Int("run", r.Run).
		Uint64("ordered_by_epoch", p.epoch).Int("calls", p.calls).Dur("waited", time.Since(p.orderedAt))
}

// resolveStops completes the acknowledged stops of runs that a later poll of the
// worker does not list as running. Such a run will never start. If it has not
// ended either, it is reported as refused. While the worker does not list all ends,
// that is not known.
func (a *Agent) resolveStops(polledAt time.Time) {
	for r, p := range a.pending {
		if !p.stopAcked || !polledAt.After(p.stopAckedAt) {
			continue
		}
		if _, present := a.running[r]; present {
			continue
		}
		ended := a.hasEnded(r)
		if !ended && a.moreEnds {
			continue
		}
		delete(a.pending, r)
		if !ended {
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
