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

	// EvacuatedZone returns the availability zone that the row with a key
	// evacuates, and false for the key of any other row. If it is nil, no row
	// evacuates a zone.
	EvacuatedZone func(key string) (zone string, ok bool)

	// EvacuationLimit is the limit of an evacuation, or 0. With a limit, a poll is
	// shorter by the time that the previous response took, so that a slow store
	// does not make the evacuated zones too old for tasks to be placed.
	EvacuationLimit time.Duration

	// Initial, if not nil, is in force from the start until a configuration is
	// read.
	Initial *job.Catalog
}

// Catalog holds the highest configuration version seen so far, and the time at
// which it was last confirmed as the newest.
type Catalog struct {
	cfg  CatalogConfig
	stop context.CancelFunc
	done chan struct{}

	mu        sync.Mutex
	evacuated evacuatedZones
	current   *job.Catalog
	confirmed time.Duration // boot time as of which the store held nothing newer
	static    bool          // set by StaticCatalog
}

// WatchCatalog returns a catalog that watches the store until it is closed.
func WatchCatalog(cfg CatalogConfig) *Catalog {
	cfg.PollWait = cmp.Or(cfg.PollWait, maxPollWait)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Catalog{cfg: cfg, current: cfg.Initial, confirmed: platform.BootTime(), stop: cancel, done: make(chan struct{})}
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
	var responseTime time.Duration // of the latest answer, without the wait
	for ctx.Err() == nil {
		sentAt := platform.BootTime()
		wait := c.pollWait(responseTime)
		callCtx, cancel := platform.WithIdleTimeout(ctx, wait+catalogResponseMargin, catalogResponseMargin)
		changes, err := c.cfg.Store.Watch(callCtx, c.cfg.Table, after, wait)
		cancel()
		took := platform.BootTime() - sentAt
		responseTime = max(took-wait, 0)
		var lost *platform.HistoryLostError
		switch {
		case err == nil:
			if after == 0 {
				wait = 0 // the store answers a read of all rows at once
			}
			c.applyChanges(changes, after == 0, changes.ConfirmedAt(wait, sentAt, sentAt+took))
			after = max(changes.Revision, 1)
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

// pollWait returns the duration of the next long poll. responseTime is what the
// latest answer took in addition to the wait.
func (c *Catalog) pollWait(responseTime time.Duration) time.Duration {
	if _, failing := c.cfg.Health.OutageDuration(); failing {
		return 0 // poll at once to detect the store's recovery
	}
	if c.cfg.EvacuationLimit > 0 {
		return max(c.cfg.PollWait-responseTime, 0)
	}
	return c.cfg.PollWait
}

// applyChanges installs changed configurations and evacuated zones. whole means
// that the changes are all rows of the table. confirmed is the boot time as of which
// the store held nothing newer.
func (c *Catalog) applyChanges(changes platform.Changes, whole bool, confirmed time.Duration) {
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
	c.applyEvacuations(changes.Rows, whole, confirmed)
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
