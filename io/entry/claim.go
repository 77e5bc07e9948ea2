package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"bramleythread/core/worker"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// claimTimeout is how long work keeps its slot while the store does not
// answer; then the entry queues it again.
const claimTimeout = time.Second

func tokenOf(name string, incarnation uint64, id worker.ID) string {
	return fmt.Sprintf("%s/%d/%s/%d", name, incarnation, id.Request, id.Attempt)
}

// claim makes the claim that work needs which may not be repeated. It returns
// nil once the work may start.
func (a *Agent) claim(w *work) *wire.Result {
	if w.claimKey == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, min(claimTimeout, time.Until(w.deadline)))
	defer cancel()
	checkpoint, err := a.claims.Acquire(ctx, w.claimKey, a.claimOf(w), a.gaveUp)
	var held *platform.ClaimHeldError
	switch {
	case err == nil:
		if checkpoint != "" {
			w.run.Checkpoint = checkpoint
		}
		return nil
	case errors.As(err, &held):
		return a.heldResult(w, held.Claim)
	default:
		a.openClaim(w, w.run.Checkpoint)
		return notStarted(wire.ReasonStoreUnavailable)
	}
}

func (a *Agent) claimOf(w *work) platform.Claim {
	digest := sha256.Sum256(w.run.Body)
	return platform.Claim{
		Token:      a.token(w.id),
		Request:    w.id.Request,
		Worker:     a.cfg.Name,
		Holder:     a.cfg.ControlAddress,
		State:      platform.ClaimHeld,
		BodyDigest: hex.EncodeToString(digest[:]),
	}
}

// gaveUp reports whether a claim's token is of an attempt of this process that
// ended before it started.
func (a *Agent) gaveUp(token string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.finished {
		if a.token(w.id) == token {
			return !w.hasStarted()
		}
	}
	return false
}

func (a *Agent) heldResult(w *work, c platform.Claim) *wire.Result {
	own := a.claimOf(w)
	switch {
	case c.State == platform.ClaimCancelled:
		return &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonCancelled}
	case c.BodyDigest != own.BodyDigest:
		return &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonKeyReused}
	default:
		return &wire.Result{Outcome: wire.OutcomeHeldBy, Reason: wire.ReasonClaimedElsewhere, Holder: c.Holder, HolderToken: c.Token}
	}
}

// openClaim gives up the claim of work that has not started, or has stopped at
// a checkpoint. It tries until the store has answered.
func (a *Agent) openClaim(w *work, checkpoint string) {
	if w.claimKey == "" {
		return
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		for !a.claims.Reopen(a.ctx, w.claimKey, a.token(w.id), checkpoint) {
			select {
			case <-a.ctx.Done():
				return
			case <-time.After(claimTimeout):
			}
			if time.Since(w.received) > a.cfg.ResultLifetime {
				return
			}
		}
	}()
}
