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

// storeTimeout is how long an attempt keeps its slot while the store does not
// answer; then the entry queues the request again. It is also the delay between
// retries of writes to the store.
const storeTimeout = time.Second

func formatToken(name string, incarnation uint64, id worker.ID) string {
	return fmt.Sprintf("%s/%d/%s/%d", name, incarnation, id.Request, id.Attempt)
}

// acquireClaim acquires the claim if the request may not be repeated. It returns
// nil if the attempt may start, and its result otherwise.
func (a *Agent) acquireClaim(att *attempt) *wire.Result {
	if att.claimKey == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, min(storeTimeout, time.Until(att.deadline)))
	defer cancel()
	checkpoint, err := a.claims.Acquire(ctx, att.claimKey, a.newClaim(att), a.endedBeforeStart)
	var held *platform.ClaimHeldError
	switch {
	case err == nil:
		if checkpoint != "" {
			att.run.Checkpoint = checkpoint
		}
		return nil
	case errors.As(err, &held):
		return a.claimHeldResult(att, held.Claim)
	default:
		a.reopenClaim(att, att.run.Checkpoint)
		return notStartedResult(wire.ReasonStoreUnavailable)
	}
}

func (a *Agent) newClaim(att *attempt) platform.Claim {
	digest := sha256.Sum256(att.run.Body)
	return platform.Claim{
		Token:      a.claimToken(att.id),
		Request:    att.id.Request,
		Worker:     a.cfg.Name,
		Holder:     a.cfg.ControlAddress,
		State:      platform.ClaimHeld,
		BodyDigest: hex.EncodeToString(digest[:]),
	}
}

// endedBeforeStart reports whether a claim's token belongs to an attempt of this
// process that ended before it started.
func (a *Agent) endedBeforeStart(token string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, att := range a.retained {
		if a.claimToken(att.id) == token {
			return !att.hasStarted()
		}
	}
	return false
}

func (a *Agent) claimHeldResult(att *attempt, c platform.Claim) *wire.Result {
	own := a.newClaim(att)
	switch {
	case c.State == platform.ClaimCancelled:
		return &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonCancelled}
	case c.BodyDigest != own.BodyDigest:
		return &wire.Result{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonKeyReused}
	default:
		return &wire.Result{Outcome: wire.OutcomeHeldBy, Reason: wire.ReasonClaimedElsewhere, Holder: c.Holder, HolderToken: c.Token}
	}
}

// reopenClaim releases the claim of an attempt that has not started, or has
// stopped at a checkpoint, so that another attempt can take it over. It retries
// until the claim is open or held by another attempt, or ResultLifetime has passed.
func (a *Agent) reopenClaim(att *attempt, checkpoint string) {
	if att.claimKey == "" {
		return
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		for !a.claims.Reopen(a.ctx, att.claimKey, a.claimToken(att.id), checkpoint) {
			select {
			case <-a.ctx.Done():
				return
			case <-time.After(storeTimeout):
			}
			if time.Since(att.receivedAt) > a.cfg.ResultLifetime {
				return
			}
		}
	}()
}
