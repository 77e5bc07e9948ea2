package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func noneAbandoned(string) bool { return false }

func newTestClaimer(t *testing.T, s *Standin) *Claimer {
	t.Helper()
	c := NewClaimer(s.Store())
	t.Cleanup(c.Close)
	return c
}

// TestConcurrentClaimsHaveOneWinner guards against two processes that both acquire a
// key. Several processes claim the same keys while commit replies are lost.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	is := is.New(t)
	s := NewStandin()
	const processes, keys = 4, 50
	won := make([]atomic.Int32, keys)
	var wg sync.WaitGroup
	for p := range processes {
		c := newTestClaimer(t, s)
		for k := range keys {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if k%5 == 0 {
					s.SetFaults(Faults{LostReplies: 1})
				}
				_, err := c.Acquire(context.Background(), fmt.Sprint("claim/", k), Claim{Token: fmt.Sprint(p, "/", k), State: ClaimHeld}, noneAbandoned)
				var held *ClaimHeldError
				switch {
				case err == nil:
					won[k].Add(1)
				case !errors.As(err, &held):
					t.Errorf("key %d: %v", k, err)
				}
			}()
		}
	}
	wg.Wait()
	for k := range keys {
		is.Equal(won[k].Load(), int32(1))
	}
}

func TestClaimTransitions(t *testing.T) {
	ctx := context.Background()
	for name, run := range map[string]func(is *is.I, c *Claimer){
		"cancelled first": func(is *is.I, c *Claimer) {
			is.NoErr(c.Cancel(ctx, "k", Claim{Token: "cancel"}))
			_, err := c.Acquire(ctx, "k", Claim{Token: "a", State: ClaimHeld}, noneAbandoned)
			var held *ClaimHeldError
			is.True(errors.As(err, &held))
			is.Equal(held.Claim.State, ClaimCancelled)
			is.NoErr(c.Cancel(ctx, "k", Claim{Token: "cancel again"}))
		},
		"claimed first": func(is *is.I, c *Claimer) {
			_, err := c.Acquire(ctx, "k", Claim{Token: "a", State: ClaimHeld}, noneAbandoned)
			is.NoErr(err)
			var held *ClaimHeldError
			is.True(errors.As(c.Cancel(ctx, "k", Claim{Token: "cancel"}), &held))
			is.Equal(held.Claim.Token, "a")
		},
		"opened and taken over": func(is *is.I, c *Claimer) {
			_, err := c.Acquire(ctx, "k", Claim{Token: "a", State: ClaimHeld}, noneAbandoned)
			is.NoErr(err)
			is.True(c.Reopen(ctx, "k", "a", "checkpoint/1"))
			checkpoint, err := c.Acquire(ctx, "k", Claim{Token: "b", State: ClaimHeld}, noneAbandoned)
			is.NoErr(err)
			is.Equal(checkpoint, "checkpoint/1")
			is.True(c.Reopen(ctx, "k", "a", "")) // another attempt holds it now
			_, err = c.Acquire(ctx, "k", Claim{Token: "c", State: ClaimHeld}, noneAbandoned)
			var held *ClaimHeldError
			is.True(errors.As(err, &held))
			is.Equal(held.Claim.Token, "b")
		},
		"other body": func(is *is.I, c *Claimer) {
			_, err := c.Acquire(ctx, "k", Claim{Token: "a", State: ClaimHeld, BodyDigest: "1"}, noneAbandoned)
			is.NoErr(err)
			is.True(c.Reopen(ctx, "k", "a", ""))
			_, err = c.Acquire(ctx, "k", Claim{Token: "b", State: ClaimHeld, BodyDigest: "2"}, noneAbandoned)
			var held *ClaimHeldError
			is.True(errors.As(err, &held)) // an open claim can only be taken over by the same request
		},
		"own earlier attempt": func(is *is.I, c *Claimer) {
			_, err := c.Acquire(ctx, "k", Claim{Token: "a", State: ClaimHeld}, noneAbandoned)
			is.NoErr(err)
			_, err = c.Acquire(ctx, "k", Claim{Token: "b", State: ClaimHeld}, func(token string) bool { return token == "a" })
			is.NoErr(err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(is.New(t), newTestClaimer(t, NewStandin()))
		})
	}
}

// TestAcquireFailsAtDeadlineDuringOutage checks that a claim is retried during an
// outage only until its context ends. The claim may exist even then, so the error is
// an *UnavailableError.
func TestAcquireFailsAtDeadlineDuringOutage(t *testing.T) {
	is := is.New(t)
	s := NewStandin()
	s.SetFaults(Faults{Outage: true})
	c := newTestClaimer(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Acquire(ctx, "k", Claim{Token: "a", State: ClaimHeld}, noneAbandoned)
	var down *UnavailableError
	is.True(errors.As(err, &down))
	s.SetFaults(Faults{})
	_, err = c.Acquire(context.Background(), "k", Claim{Token: "b", State: ClaimHeld}, noneAbandoned)
	is.NoErr(err)
}

// TestPublishSucceedsAfterLostReply guards against reporting a publication as failed
// that took effect but whose reply was lost.
func TestPublishSucceedsAfterLostReply(t *testing.T) {
	is := is.New(t)
	s := NewStandin()
	s.SetFaults(Faults{LostReplies: 1})
	row := ConfigRow{Author: "a", Time: time.Now().UTC(), Base: "[deployment]\nname = x\n"}
	version, err := Publish(context.Background(), s.Store(), 0, row)
	is.NoErr(err)
	is.Equal(version, uint64(1))
	_, err = Publish(context.Background(), s.Store(), 0, ConfigRow{Author: "b"})
	var conflict *ConfigConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Author, "a")
}

func TestConfigCacheIgnoresOlderVersions(t *testing.T) {
	is := is.New(t)
	var cache ConfigCache
	row := ConfigRow{Version: 5, Base: "[deployment]\nname = x\n"}
	changed, err := cache.UpdateConfig(row)
	is.NoErr(err)
	is.True(changed)
	row.Version = 4
	changed, err = cache.UpdateConfig(row)
	is.NoErr(err)
	is.True(!changed)
	_, version := cache.Config()
	is.Equal(version, uint64(5))
	cache.NoteVersion(6)
	is.True(cache.Behind())
}
