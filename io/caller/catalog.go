package caller

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"

	"github.com/rs/zerolog"
)

// Timing of the watch on the configuration table.
const (
	maxPollWait           = 1500 * time.Millisecond // long poll of the store; the known configuration is at most twice as old
	catalogResponseMargin = time.Second             // added to the poll, for a slow store's response
	catalogRetryDelay     = 150 * time.Millisecond  // delay after a failure
)

// CatalogConfig configures a catalog that watches the store.
type CatalogConfig struct {
	Health *platform.Health
	Store  platform.Store
	Log    zerolog.Logger
	Table  string
	Key    string // of the row with the configuration

	// PollWait is the duration of a long poll. If it is 0, maxPollWait applies.
	PollWait time.Duration

	Decode func(row []byte) (*job.Catalog, error)
}

// Catalog holds the highest configuration version seen so far, and the time at
// which it was last confirmed as the newest.
type Catalog struct {
	cfg  CatalogConfig
	stop context.CancelFunc
	done chan struct{}

	mu        sync.Mutex
	current   *job.Catalog
	confirmed time.Duration // boot time as of which the store held nothing newer
	static    bool          // set by StaticCatalog
}

// WatchCatalog returns a catalog that watches the store until it is closed.
func WatchCatalog(cfg CatalogConfig) *Catalog {
	cfg.PollWait = cmp.Or(cfg.PollWait, maxPollWait)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Catalog{cfg: cfg, stop: cancel, done: make(chan struct{})}
	go c.run(ctx)
	return c
}

// StaticCatalog returns a catalog that never changes and is never stale.
func StaticCatalog(current *job.Catalog) *Catalog {
	c := &Catalog{current: current, static: true, stop: func() {}, done: make(chan struct{})}
	close(c.done)
	return c
}

// Close stops the watch.
func (c *Catalog) Close() {
	c.stop()
	<-c.done
}

// Get returns the newest known catalog and the time since it was confirmed as the
// newest. The catalog is nil before the first one is read.
func (c *Catalog) Get() (*job.Catalog, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.static {
		return c.current, 0
	}
	return c.current, platform.BootTime() - c.confirmed
}

// Guarantees returns the number of guaranteed accelerators by customer.
func (c *Catalog) Guarantees() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return nil
	}
	return c.current.Guaranteed
}

func (c *Catalog) run(ctx context.Context) {
	defer close(c.done)
	var after uint64
	for ctx.Err() == nil {
		sentAt := platform.BootTime()
		wait := c.cfg.PollWait
		if _, failing := c.cfg.Health.OutageDuration(); failing {
			wait = 0 // poll at once to detect the store's recovery
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+catalogResponseMargin)
		changes, err := c.cfg.Store.Watch(callCtx, c.cfg.Table, after, wait)
		cancel()
		var lost *platform.HistoryLostError
		switch {
		case err == nil:
			after = max(changes.Revision, 1)
			c.applyChanges(changes, c.confirmedAt(changes, sentAt, platform.BootTime()))
		case errors.As(err, &lost):
			after = 0
		case ctx.Err() == nil:
			t := time.NewTimer(catalogRetryDelay)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
		}
	}
}

// confirmedAt returns a boot time as of which the store held nothing newer than
// the changes. This is the time of the request, unless the response is empty
// after a full long poll: the store then made it at the end of the poll.
func (c *Catalog) confirmedAt(changes platform.Changes, sentAt, answeredAt time.Duration) time.Duration {
	if len(changes.Rows) == 0 && answeredAt-sentAt >= c.cfg.PollWait {
		return sentAt + c.cfg.PollWait*9/10 // allows for a store clock that runs fast
	}
	return sentAt
}

// applyChanges installs changed configurations. confirmed is the boot time as of
// which the store held nothing newer.
func (c *Catalog) applyChanges(changes platform.Changes, confirmed time.Duration) {
	for _, row := range changes.Rows {
		if row.Key != c.cfg.Key || row.Deleted {
			continue
		}
		next, err := c.cfg.Decode(row.Value)
		if err != nil {
			c.cfg.Log.Error().Err(err).Uint64("revision", row.Revision).Msg("configuration_not_read")
			continue
		}
		c.install(next)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.confirmed = max(c.confirmed, confirmed)
	}
}

// install replaces the current catalog by a newer version.
func (c *Catalog) install(next *job.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && next.Version <= c.current.Version {
		return
	}
	c.current = next
	c.cfg.Log.Info().Uint64("version", next.Version).Int("queues", len(next.Queues)).Int("customers", len(next.Guaranteed)).Msg("configuration_in_force")
}
