package scheduler

import (
	"context"
	"time"

	"bramleythread/core/job"
)

// adviceTimeout limits a request to the advice service, including the wait
// for earlier requests.
const adviceTimeout = 4 * time.Second

// requestAdvice sends the engine's due advice requests to the operators'
// advice service. The caller holds mu.
func (h *holder) requestAdvice(ctx context.Context, now time.Time) {
	if h.cfg.Advise == nil {
		return
	}
	for _, q := range h.engine.AdviceRequests(now) {
		h.start(func() { h.advise(ctx, q) })
	}
}

func (h *holder) advise(ctx context.Context, q job.AdviceRequest) {
	h.adviceMu.Lock()
	defer h.adviceMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	sent := time.Now()
	tickets, err := h.cfg.Advise(ctx, q)
	h.cfg.Log.Info().Str("job", q.Job).Int("occurrence", q.Occurrence).Int("step", q.Step).Int("asked", len(q.Workers)).
		Int("allowed", len(tickets)).Dur("took", time.Since(sent)).Err(err).Msg("advice")
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.recoverPanic()
	h.engine.RecordAdvice(q, tickets, err == nil, sent, time.Now())
	h.requestRound()
}
