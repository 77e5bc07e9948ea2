package worker

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"bramleythread/io/wire"
)

// Limits of announcements.
const (
	maxCandidates       = 8           // announced lifetimes that wait for the worker's answer
	serviceReadInterval = time.Second // between two reads of the configuration for unknown services
)

// lifetimeID identifies a lifetime of a worker.
type lifetimeID struct {
	instance string
	born     int64
}

// candidate is the latest announcement of a lifetime that the worker has not
// confirmed.
type candidate struct {
	Announcement
	left bool // the lifetime has announced its end since
}

// Reasons for which an announcement is ignored, as logged and counted.
const (
	ignoredService   = "service_not_configured"
	ignoredOvertaken = "overtaken"
	ignoredLifetime  = "not_this_worker"
	ignoredTooMany   = "too_many_candidates"
)

// Announce applies an announcement of the worker. It returns false for one that is
// ignored: it is older than the latest one applied, or does not come from the
// worker. A new lifetime is adopted once the worker has confirmed it.
func (a *Agent) Announce(n Announcement) bool {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	if !a.serviceConfigured(ctx, n.Service) {
		return a.ignore(n, ignoredService)
	}
	a.mu.Lock()
	id := lifetimeID{n.Instance, n.Born}
	present := a.isPresent(id)
	c := a.candidates[id]
	known := c.Sequence
	if present {
		known = a.announceSequence
	}
	reason := ""
	switch {
	case n.Sequence <= known:
		reason = ignoredOvertaken
	case present:
		a.applyAnnouncement(n)
	case known == 0 && len(a.candidates) >= maxCandidates:
		reason = ignoredTooMany
	default:
		a.candidates[id] = candidate{Announcement: n, left: c.left}
	}
	a.mu.Unlock()
	if reason != "" {
		return a.ignore(n, reason)
	}
	if present || known > 0 {
		return true
	}
	decided, adopted := a.decideLifetime(ctx, id)
	if decided {
		return adopted
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() == nil {
		a.wg.Add(1)
		go a.confirmLifetime(id)
	}
	return true
}

// isPresent reports whether a lifetime is the present one and not gone. One that is gone
// must be confirmed and adopted again, since the scheduler has ended its runs.
func (a *Agent) isPresent(id lifetimeID) bool {
	return id == lifetimeID{a.info.Instance, a.info.Born} && a.info.State != wire.WorkerGone
}

// ignore logs and counts an announcement that is not applied, and returns false.
func (a *Agent) ignore(n Announcement, reason string) bool {
	a.cfg.Log.Info().Str("instance", n.Instance).Int64("born", n.Born).Str("service", n.Service).Uint64("sequence", n.Sequence).Str("reason", reason).Msg("announcement_ignored")
	a.cfg.Metrics.ignored.WithLabelValues(reason).Inc()
	return false
}

// applyAnnouncement applies an announcement of the present lifetime. A worker that
// names no zone is in the agent's, so that an evacuation applies to it. The caller
// holds mu.
func (a *Agent) applyAnnouncement(n Announcement) {
	state := a.info.State
	a.info, a.announceSequence = n.WorkerInfo, n.Sequence
	a.info.Zone = cmp.Or(n.Zone, a.cfg.Zone)
	if state != n.State {
		a.cfg.Log.Info().Str("instance", n.Instance).Str("state", string(n.State)).Dur("remaining", n.Remaining).Msg("worker_state")
		a.giveUpStarts()
		a.report()
	}
}

// giveUpStarts turns the starts in progress on a worker that is not ready into stops. The
// scheduler does the same, but may not be reached. The caller holds mu.
func (a *Agent) giveUpStarts() {
	if a.info.State == wire.WorkerReady {
		return
	}
	for _, p := range a.pending {
		if !p.stop {
			p.stop, p.reason = true, "worker_"+string(a.info.State)
		}
	}
}

// confirmLifetime repeats decideLifetime until the worker has answered.
func (a *Agent) confirmLifetime(id lifetimeID) {
	defer a.wg.Done()
	for decided := false; !decided && a.ctx.Err() == nil; {
		a.pause(a.ctx, retryDelay, nil, nil)
		a.mu.Lock()
		linked := a.orders.Token > 0
		a.mu.Unlock()
		if !linked { // without the scheduler's token the worker may refuse every call
			continue
		}
		ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
		decided, _ = a.decideLifetime(ctx, id)
		cancel()
	}
}

// decideLifetime asks the worker whether an announced lifetime is its own.
// Announcements may come from other writers, and a lifetime that is not the
// worker's must not displace the one that is. The call names the lifetime, and
// renews and acknowledges nothing. If the answer decides, the lifetime is adopted
// or dropped. A start time that is earlier than the present lifetime's, as after a
// step of the VM's clock, counts only if an answer shows it.
func (a *Agent) decideLifetime(ctx context.Context, id lifetimeID) (decided, adopted bool) {
	a.mu.Lock()
	o := HoldRequest{Instance: id.instance, Token: a.token()}
	a.mu.Unlock()
	reply, err := a.cfg.Worker.Hold(ctx, o)
	var refused *RefusedError
	var down *DownError
	other := errors.As(err, &refused) && refused.Reason == ReasonOtherLifetime || err == nil && reply.Born != 0 && reply.Born != id.born
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := a.candidates[id]
	left := c.left && errors.As(err, &down)
	switch {
	case !ok:
		return true, false
	case other:
		a.ignore(c.Announcement, ignoredLifetime)
	case a.isPresent(id): // another answer has shown it meanwhile
		adopted = c.Sequence > a.announceSequence
		if adopted {
			a.applyAnnouncement(c.Announcement)
		}
	case id.born < a.info.Born && (err != nil || reply.Born == 0):
		a.ignore(c.Announcement, ignoredOvertaken)
	case err == nil || left:
		a.adoptLifetime(c)
		a.setClock(reply.Clock, time.Now())
		adopted = true
	default:
		a.cfg.Log.Debug().Str("instance", id.instance).Err(err).Msg("lifetime_not_confirmed")
		return false, false
	}
	delete(a.candidates, id)
	return true, adopted
}

// adoptLifetime makes a candidate the present lifetime. The caller holds mu.
func (a *Agent) adoptLifetime(c candidate) {
	a.resetLifetime(c.WorkerInfo)
	a.info = wire.WorkerInfo{}
	a.applyAnnouncement(c.Announcement)
	if c.left {
		a.recordLeave()
	}
}

// adoptUnannounced makes a lifetime present that an answer of the worker has shown
// before its announcement has arrived: the worker has started again under its id. It
// may already run what was meant for the earlier lifetime, and is given nothing else
// until it is announced, since it may be of another kind. The caller holds mu.
func (a *Agent) adoptUnannounced(reply HoldReply) {
	info := a.info
	info.Born, info.State, info.Remaining = reply.Born, wire.WorkerUnannounced, 0
	a.resetLifetime(info)
	a.info = info
	a.setClock(reply.Clock, time.Now())
}

// services caches the names of configured services.
type services struct {
	mu     sync.Mutex // held while the configuration is read
	names  map[string]bool
	readAt time.Time
}

// serviceConfigured reports whether the operators' configuration names a service.
// It reads the configuration if the service is not known.
func (a *Agent) serviceConfigured(ctx context.Context, name string) bool {
	if a.cfg.Services == nil {
		return true
	}
	s := &a.services
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] || time.Since(s.readAt) < serviceReadInterval {
		return s.names[name]
	}
	names, err := a.cfg.Services(ctx)
	if err != nil {
		a.cfg.Log.Warn().Str("service", name).Err(err).Msg("services_not_read")
		return false
	}
	s.readAt = time.Now()
	if s.names == nil {
		s.names = make(map[string]bool)
	}
	for _, n := range names {
		s.names[n] = true
	}
	return s.names[name]
}

// WorkerLeft records that a worker has announced its end. born identifies the
// lifetime that ends, or is 0 if the announcement does not name it. Such an
// announcement counts only for a draining worker: it may have been delayed until
// the worker has started again under the same id.
func (a *Agent) WorkerLeft(instance string, born int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, c := range a.candidates {
		if id.instance == instance && endsLifetime(born, c.WorkerInfo) {
			c.left = true
			a.candidates[id] = c
		}
	}
	if instance != a.info.Instance || a.info.State == wire.WorkerGone {
		return
	}
	if !endsLifetime(born, a.info) {
		a.cfg.Log.Info().Str("instance", instance).Int64("born", born).Int64("present", a.info.Born).Str("state", string(a.info.State)).Msg("leave_ignored")
		return
	}
	a.recordLeave()
}

// endsLifetime reports whether an announced end, which names the lifetime by born
// or by 0 not at all, counts for a lifetime of the worker.
func endsLifetime(born int64, w wire.WorkerInfo) bool {
	return born == w.Born && born != 0 || born == 0 && w.State == wire.WorkerDraining
}

// recordLeave marks the present lifetime as gone. While a start call is in progress, or
// has ended without an answer and may still be carried out, it leaves that to
// workerDown. The caller holds mu.
func (a *Agent) recordLeave() {
	starts := a.startCalls
	for _, p := range a.pending {
		if p.unanswered && !p.stopAcked {
			starts++
		}
	}
	if starts > 0 {
		a.cfg.Log.Info().Str("instance", a.info.Instance).Int("starts", starts).Msg("leave_during_start")
		return
	}
	a.info.State = wire.WorkerGone
	a.cfg.Log.Info().Str("instance", a.info.Instance).Msg("worker_left")
	a.report()
}
