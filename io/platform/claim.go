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

// States of a claim. An open claim may be taken over: its work has not
// started, or has stopped at Checkpoint.
const (
	ClaimHeld      ClaimState = "claimed"
	ClaimOpen      ClaimState = "open"
	ClaimCancelled ClaimState = "cancelled"
)

// Claim is the row that lets a request that may not be repeated start once.
type Claim struct {
	Token      string         `json:"token"` // of the attempt that made it
	Request    string         `json:"request"`
	Worker     string         `json:"worker"`
	Holder     netip.AddrPort `json:"holder"` // control address of the agent
	State      ClaimState     `json:"state"`
	Checkpoint string         `json:"checkpoint,omitempty"`
	BodyDigest string         `json:"body_digest"` // SHA-256 in hexadecimal
}

// ClaimHeldError tells that another attempt holds the claim, or that a cancellation
// came first.
type ClaimHeldError struct {
	Claim Claim
}

// Error describes the holder.
func (e *ClaimHeldError) Error() string {
	return fmt.Sprintf("platform: %s by %s of request %s", e.Claim.State, e.Claim.Worker, e.Claim.Request)
}

// ClaimKey returns the row key of a claim.
func ClaimKey(customer, service, key string) string {
	return "claim/" + url.PathEscape(customer) + "/" + url.PathEscape(service) + "/" + url.PathEscape(key)
}

// Limits of the grouping of claims into transactions.
const (
	claimBatch    = 64
	claimWindow   = 2 * time.Millisecond
	claimQueue    = 1024
	claimAttempts = 100 * time.Millisecond // between attempts on an unavailable store
)

// take is one claim that waits for its transaction.
type take struct {
	ctx      context.Context
	key      string
	claim    Claim
	own      func(token string) bool
	revision uint64
	from     string // checkpoint of the open claim that it takes over
	result   chan error
}

// Claimer makes claims, several to a transaction.
type Claimer struct {
	store  Store
	queue  chan *take
	cancel context.CancelFunc
	done   chan struct{}
	wg     sync.WaitGroup
}

// NewClaimer starts to serve claims.
func NewClaimer(store Store) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{store: store, queue: make(chan *take, claimQueue), cancel: cancel, done: make(chan struct{})}
	go c.loop(ctx)
	return c
}

// Close ends the service; claims that wait fail.
func (c *Claimer) Close() {
	c.cancel()
	<-c.done
}

// Done is closed when the service has ended.
func (c *Claimer) Done() <-chan struct{} { return c.done }

// Acquire makes a claim, or takes over an open one and returns its checkpoint.
// own reports whether a token is of an attempt that this process has given up.
// While the store gives no answer, Acquire tries again until ctx ends; then the
// claim may exist all the same. Errors: *HeldError, *UnavailableError.
func (c *Claimer) Acquire(ctx context.Context, key string, claim Claim, own func(token string) bool) (checkpoint string, err error) {
	t := &take{ctx: ctx, key: key, claim: claim, own: own, result: make(chan error, 1)}
	select {
	case c.queue <- t:
	case <-ctx.Done():
		return "", &UnavailableError{Op: "claim", Cause: ctx.Err()}
	case <-c.done:
		return "", &UnavailableError{Op: "claim", Cause: context.Canceled}
	}
	select {
	case err = <-t.result:
		return t.from, err
	case <-c.done:
		return "", &UnavailableError{Op: "claim", MaybeApplied: true, Cause: context.Canceled}
	}
}

func (c *Claimer) loop(ctx context.Context) {
	defer close(c.done)
	defer c.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			batch := c.collect(ctx, first)
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.commitAll(ctx, batch)
			}()
		}
	}
}

// collect waits a short time for more claims to share a transaction.
func (c *Claimer) collect(ctx context.Context, first *take) []*take {
	batch := []*take{first}
	if len(c.queue) == 0 {
		return batch
	}
	t := time.NewTimer(claimWindow)
	defer t.Stop()
	for len(batch) < claimBatch {
		select {
		case x := <-c.queue:
			batch = append(batch, x)
		case <-t.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commitAll commits a batch until each claim in it is decided.
func (c *Claimer) commitAll(ctx context.Context, batch []*take) {
	batch, late := distinct(batch)
	for len(batch) > 0 {
		_, err := c.store.Commit(ctx, batchTxn(batch))
		var conflict *ConflictError
		switch {
		case err == nil:
			settle(batch, nil)
			batch = nil
		case errors.As(err, &conflict):
			batch = resolve(batch, conflict.Rows)
		default:
			batch = c.wait(ctx, batch, err)
		}
	}
	if len(late) > 0 {
		c.commitAll(ctx, late)
	}
}

// distinct splits off the claims of a key that the batch has already, as one
// transaction can write a row once only.
func distinct(batch []*take) (first, late []*take) {
	seen := make(map[string]bool, len(batch))
	for _, t := range batch {
		if seen[t.key] {
			late = append(late, t)
			continue
		}
		seen[t.key] = true
		first = append(first, t)
	}
	return first, late
}

func batchTxn(batch []*take) Txn {
	var txn Txn
	for _, t := range batch {
		value, _ := json.Marshal(t.claim)
		txn.Conditions = append(txn.Conditions, Condition{Key: t.key, Revision: t.revision})
		txn.Writes = append(txn.Writes, Write{Key: t.key, Value: value})
	}
	return txn
}

func settle(batch []*take, err error) {
	for _, t := range batch {
		t.result <- err
	}
}

// resolve decides the claims whose rows exist, and returns the others.
func resolve(batch []*take, rows []Row) []*take {
	byKey := make(map[string]Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	var rest []*take
	for _, t := range batch {
		row, ok := byKey[t.key]
		if !ok || t.retryOn(row) {
			rest = append(rest, t)
		}
	}
	return rest
}

// retryOn looks at the row that stood in the way. It reports whether the claim
// can be tried again, and otherwise settles it.
func (t *take) retryOn(row Row) bool {
	if row.Revision == 0 {
		t.revision, t.from = 0, ""
		return true
	}
	var held Claim
	if err := json.Unmarshal(row.Value, &held); err != nil {
		t.result <- err
		return false
	}
	switch {
	case held.Token == t.claim.Token:
		// An earlier try took effect, though its reply was lost.
		t.result <- nil
		return false
	case t.claim.State == ClaimHeld && held.BodyDigest != t.claim.BodyDigest:
		t.result <- &ClaimHeldError{Claim: held}
		return false
	case held.State == ClaimOpen, held.State == ClaimHeld && t.own(held.Token):
		t.revision, t.from = row.Revision, held.Checkpoint
		return true
	}
	t.result <- &ClaimHeldError{Claim: held}
	return false
}

// wait drops the claims whose time is over and pauses before the next try.
func (c *Claimer) wait(ctx context.Context, batch []*take, cause error) []*take {
	select {
	case <-time.After(claimAttempts):
	case <-ctx.Done():
	}
	var rest []*take
	for _, t := range batch {
		if t.ctx.Err() != nil || ctx.Err() != nil {
			t.result <- &UnavailableError{Op: "claim", MaybeApplied: true, Cause: cause}
			continue
		}
		rest = append(rest, t)
	}
	return rest
}

// Cancel makes a claim for a cancellation, so that the request never starts.
// If work holds the claim it returns a *HeldError.
func (c *Claimer) Cancel(ctx context.Context, key string, claim Claim) error {
	claim.State = ClaimCancelled
	_, err := c.Acquire(ctx, key, claim, func(string) bool { return false })
	var held *ClaimHeldError
	if errors.As(err, &held) && held.Claim.State == ClaimCancelled {
		return nil
	}
	return err
}

// Reopen gives up a claim that this process holds, for another attempt to take
// over from checkpoint. It reports whether the claim is no longer its own.
func (c *Claimer) Reopen(ctx context.Context, key, token, checkpoint string) (settled bool) {
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

// AnswerKey returns the object key of the answer to the work of a claim.
func AnswerKey(claimKey string) string { return "answer/" + claimKey }
