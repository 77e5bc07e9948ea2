package scheduler

import (
	"context"
	"time"

	"bramleythread/core/job"
)

// adviceTimeout bounds a question for advice, with the questions before it.
const adviceTimeout = 4 * time.Second

// askAdvice asks the operators' service what the engine wants to know. The
// caller holds the lock.
func (h *holder) askAdvice(ctx context.Context, now time.Time) {
	if h.cfg.Advise == nil {
		return
	}
	for _, q := range h.engine.AdviceRequests(now) {
		h.wg.Add(1)
		go h.advise(ctx, q)
	}
}

func (h *holder) advise(ctx context.Context, q job.AdviceRequest) {
	defer h.wg.Done()
	h.advising.Lock()
	defer h.advising.Unlock()
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	sent := time.Now()
	tickets, err := h.cfg.Advise(ctx, q)
	h.cfg.Log.Info().Str("job", q.Job).Int("occurrence", q.Occurrence).Int("step", q.Step).Int("asked", len(q.Workers)).
		Int("allowed", len(tickets)).Dur("took", time.Since(sent)).Err(err).Msg("advice")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engine.RecordAdvice(q, tickets, err == nil, sent, time.Now())
	h.poke()
}
