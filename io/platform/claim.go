package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"sync"
	"time"
)

// ClaimState is the state of a claim row.
type ClaimState string

// States of a claim. Another attempt may take over an open claim: its work has
// not started, or has stopped at Checkpoint.
const (
	ClaimHeld      ClaimState = "claimed"
	ClaimOpen      ClaimState = "open"
	ClaimCancelled ClaimState = "cancelled"
)

// Claim is the row that ensures that a request that is not repeatable starts at
// most once.
type Claim struct {
	Token      string         `json:"token"` // of the attempt that made the claim
	Request    string         `json:"request"`
	Worker     string         `json:"worker"`
	Holder     netip.AddrPort `json:"holder"` // control address of the agent
	State      ClaimState     `json:"state"`
	Checkpoint string         `json:"checkpoint,omitempty"`
	BodyDigest string         `json:"body_digest"` // SHA-256 in hexadecimal
}

// ClaimHeldError reports that another attempt or a cancellation holds the claim.
type ClaimHeldError struct {
	Claim Claim
}

// Error names the holder.
func (e *ClaimHeldError) Error() string {
	return fmt.Sprintf("platform: %s by %s of request %s", e.Claim.State, e.Claim.Worker, e.Claim.Request)
}

// ClaimKey returns the row key of a claim.
func ClaimKey(customer, service, key string) string {
	return "claim/" + url.PathEscape(customer) + "/" + url.PathEscape(service) + "/" + url.PathEscape(key)
}

// Limits of the batching of claims into transactions.
const (
	maxBatchClaims   = 64
	batchWindow      = 2 * time.Millisecond
	claimQueueLength = 1024
	retryInterval    = 100 * time.Millisecond // between commits while the store is unavailable
)

// pendingClaim is a claim that waits for its transaction.
type pendingClaim struct {
	ctx         context.Context
	key         string
	claim       Claim
	isAbandoned func(token string) bool
	expected    uint64 // revision that the row must have
	resumeFrom  string // checkpoint of the open claim that it takes over
	result      chan error
}

// Claimer makes claims and batches them into transactions.
type Claimer struct {
	store  Store
	queue  chan *pendingClaim
	cancel context.CancelFunc
	done   chan struct{}
	wg     sync.WaitGroup
}

// NewClaimer returns a running Claimer.
func NewClaimer(store Store) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{store: store, queue: make(chan *pendingClaim, claimQueueLength), cancel: cancel, done: make(chan struct{})}
	go c.serve(ctx)
	return c
}

// Close stops the Claimer. Pending claims fail.
func (c *Claimer) Close() {
	c.cancel()
	<-c.done
}

// Done returns a channel that is closed when the Claimer has stopped.
func (c *Claimer) Done() <-chan struct{} { return c.done }

// Acquire makes a claim, or takes over an open one and returns its checkpoint.
// isAbandoned reports whether a token belongs to an attempt that this process has
// abandoned. While the store does not answer, Acquire retries until ctx ends; the
// claim may exist even then. Errors: *ClaimHeldError, *UnavailableError.
func (c *Claimer) Acquire(ctx context.Context, key string, claim Claim, isAbandoned func(token string) bool) (checkpoint string, err error) {
	p := &pendingClaim{ctx: ctx, key: key, claim: claim, isAbandoned: isAbandoned, result: make(chan error, 1)}
	select {
	case c.queue <- p:
	case <-ctx.Done():
		return "", &UnavailableError{Op: "claim", Cause: ctx.Err()}
	case <-c.done:
		return "", &UnavailableError{Op: "claim", Cause: context.Canceled}
	}
	select {
	case err = <-p.result:
		return p.resumeFrom, err
	case <-c.done:
		return "", &UnavailableError{Op: "claim", MaybeApplied: true, Cause: context.Canceled}
	}
}

func (c *Claimer) serve(ctx context.Context) {
	defer close(c.done)
	defer c.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			batch := c.collectBatch(ctx, first)
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.commitBatch(ctx, batch)
			}()
		}
	}
}

// collectBatch returns first together with the claims that arrive within
// batchWindow, up to maxBatchClaims. It does not wait if none are queued.
func (c *Claimer) collectBatch(ctx context.Context, first *pendingClaim) []*pendingClaim {
	batch := []*pendingClaim{first}
	if len(c.queue) == 0 {
		return batch
	}
	t := time.NewTimer(batchWindow)
	defer t.Stop()
	for len(batch) < maxBatchClaims {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		case <-t.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commitBatch retries a batch until each of its claims has succeeded or failed.
func (c *Claimer) commitBatch(ctx context.Context, batch []*pendingClaim) {
	batch, duplicates := splitDuplicates(batch)
	for len(batch) > 0 {
		_, err := c.store.Commit(ctx, buildTxn(batch))
		var conflict *ConflictError
		switch {
		case err == nil:
			finishAll(batch, nil)
			batch = nil
		case errors.As(err, &conflict):
			batch = resolveConflicts(batch, conflict.Rows)
		default:
			batch = c.waitForRetry(ctx, batch, err)
		}
	}
	if len(duplicates) > 0 {
		c.commitBatch(ctx, duplicates)
	}
}

// splitDuplicates splits off repeated claims of the same key: a transaction can
// write a row only once.
func splitDuplicates(batch []*pendingClaim) (first, duplicates []*pendingClaim) {
	seen := make(map[string]bool, len(batch))
	for _, p := range batch {
		if seen[p.key] {
			duplicates = append(duplicates, p)
			continue
		}
		seen[p.key] = true
		first = append(first, p)
	}
	return first, duplicates
}

func buildTxn(batch []*pendingClaim) Txn {
	var txn Txn
	for _, p := range batch {
		value, _ := json.Marshal(p.claim)
		txn.Conditions = append(txn.Conditions, Condition{Key: p.key, Revision: p.expected})
		txn.Writes = append(txn.Writes, Write{Key: p.key, Value: value})
	}
	return txn
}

func finishAll(batch []*pendingClaim, err error) {
	for _, p := range batch {
		p.result <- err
	}
}

// resolveConflicts resolves the claims in conflict with existing rows. It returns
// the claims to commit again.
func resolveConflicts(batch []*pendingClaim, rows []Row) []*pendingClaim {
	byKey := make(map[string]Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	var remaining []*pendingClaim
	for _, p := range batch {
		row, ok := byKey[p.key]
		if !ok || p.resolveConflict(row) {
			remaining = append(remaining, p)
		}
	}
	return remaining
}

// resolveConflict resolves a conflict with the current row. It reports whether the
// claim can be committed again; otherwise it sends the claim's result.
func (p *pendingClaim) resolveConflict(row Row) bool {
	if row.Revision == 0 {
		p.expected, p.resumeFrom = 0, ""
		return true
	}
	var held Claim
	if err := json.Unmarshal(row.Value, &held); err != nil {
		p.result <- err
		return false
	}
	switch {
	case held.Token == p.claim.Token:
		// An earlier commit took effect although its reply was lost.
		p.result <- nil
		return false
	case p.claim.State == ClaimHeld && held.BodyDigest != p.claim.BodyDigest:
		p.result <- &ClaimHeldError{Claim: held}
		return false
	case held.State == ClaimOpen, held.State == ClaimHeld && p.isAbandoned(held.Token):
		p.expected, p.resumeFrom = row.Revision, held.Checkpoint
		return true
	}
	p.result <- &ClaimHeldError{Claim: held}
	return false
}

// waitForRetry waits for retryInterval. It then fails the claims whose context has
// ended and returns the others.
func (c *Claimer) waitForRetry(ctx context.Context, batch []*pendingClaim, cause error) []*pendingClaim {
	select {
	case <-time.After(retryInterval):
	case <-ctx.Done():
	}
	var remaining []*pendingClaim
	for _, p := range batch {
		if p.ctx.Err() != nil || ctx.Err() != nil {
			p.result <- &UnavailableError{Op: "claim", MaybeApplied: true, Cause: cause}
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}

// Cancel makes a claim for a cancellation, so that the request never starts. If an
// attempt holds the claim it returns a *ClaimHeldError.
func (c *Claimer) Cancel(ctx context.Context, key string, claim Claim) error {
	claim.State = ClaimCancelled
	_, err := c.Acquire(ctx, key, claim, func(string) bool { return false })
	var held *ClaimHeldError
	if errors.As(err, &held) && held.Claim.State == ClaimCancelled {
		return nil
	}
	return err
}

// Reopen opens a claim that this process holds, so that another attempt can take
// it over from checkpoint. It reports whether the claim is now open, or held with
// another token. Without a claim row it returns false, as the commit that makes the
// claim may still take effect.
func (c *Claimer) Reopen(ctx context.Context, key, token, checkpoint string) (done bool) {
	row, err := c.store.Get(ctx, key)
	if err != nil {
		return false
	}
	var held Claim
	if row.Revision == 0 || json.Unmarshal(row.Value, &held) != nil || held.Token != token {
		return row.Revision != 0
	}
	held.State, held.Checkpoint = ClaimOpen, checkpoint
	value, _ := json.Marshal(held)
	_, err = c.store.Commit(ctx, Txn{
		Conditions: []Condition{{Key: key, Revision: row.Revision}},
		Writes:     []Write{{Key: key, Value: value}},
	})
	return err == nil
}

// AnswerKey returns the object key of the answer to a claimed request.
func AnswerKey(claimKey string) string { return "answer/" + claimKey }
