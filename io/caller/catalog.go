package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Times of a catalog's follower.
const (
	catalogWait   = 1500 * time.Millisecond // a long poll of the store; what is known is at most twice as old
	catalogMargin = time.Second             // beyond the wait, for a slow store's answer
	catalogPause  = 150 * time.Millisecond  // after a failure
)

// CatalogConfig sets up a follower.
type CatalogConfig struct {
	Health *platform.Health
	Store  platform.Store
	Log    zerolog.Logger
	Table  string
	Key    string // of the row with the configuration
	Decode func(row []byte) (*job.Catalog, error)
}

// Catalog follows the configuration. It keeps the highest version that it has
// seen, and knows how old its knowledge is.
type Catalog struct {
	cfg  CatalogConfig
	stop context.CancelFunc
	done chan struct{}

	mu        sync.Mutex
	current   *job.Catalog
	confirmed time.Duration // boot time at which nothing newer was in the store
	fixed     bool          // it never changes
}

// WatchCatalog starts a follower.
func WatchCatalog(cfg CatalogConfig) *Catalog {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Catalog{cfg: cfg, stop: cancel, done: make(chan struct{})}
	go c.run(ctx)
	return c
}

// StaticCatalog returns a catalog that never changes and is always fresh.
func StaticCatalog(current *job.Catalog) *Catalog {
	c := &Catalog{current: current, fixed: true, stop: func() {}, done: make(chan struct{})}
	close(c.done)
	return c
}

// Close stops the follower.
func (c *Catalog) Close() {
	c.stop()
	<-c.done
}

// Get returns the newest catalog and how long ago it was known to be the
// newest. It returns nil before the first one.
func (c *Catalog) Get() (*job.Catalog, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fixed {
		return c.current, 0
	}
	return c.current, bootTime() - c.confirmed
}

// Guarantees returns the accelerators that customers are guaranteed.
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
		asked := bootTime()
		wait := catalogWait
		if _, failing := c.cfg.Health.OutageDuration(); failing {
			wait = 0 // ask whether the store is back
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+catalogMargin)
		changes, err := c.cfg.Store.Watch(callCtx, c.cfg.Table, after, wait)
		cancel()
		var lost *platform.HistoryLostError
		switch {
		case err == nil:
			after = max(changes.Revision, 1)
			c.take(changes, confirmedAt(changes, asked, bootTime()))
		case errors.As(err, &lost):
			after = 0
		case ctx.Err() == nil:
			t := time.NewTimer(catalogPause)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
		}
	}
}

// confirmedAt returns the boot time at which nothing newer than the changes was
// in the store. An empty answer that took the whole wait was made at its end.
func confirmedAt(changes platform.Changes, asked, answered time.Duration) time.Duration {
	if len(changes.Rows) == 0 && answered-asked >= catalogWait {
		return asked + catalogWait*9/10 // the store's clock may be faster
	}
	return asked
}

// take takes in changes. Nothing newer was in the store at the given boot time.
func (c *Catalog) take(changes platform.Changes, confirmed time.Duration) {
	for _, row := range changes.Rows {
		if row.Key != c.cfg.Key || row.Deleted {
			continue
		}
		next, err := c.cfg.Decode(row.Value)
		if err != nil {
			c.cfg.Log.Error().Err(err).Uint64("revision", row.Revision).Msg("configuration_not_read")
			continue
		}
		c.put(next)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.confirmed = max(c.confirmed, confirmed)
	}
}

func (c *Catalog) put(next *job.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && next.Version <= c.current.Version {
		return
	}
	c.current = next
	c.cfg.Log.Info().Uint64("version", next.Version).Int("queues", len(next.Queues)).Int("customers", len(next.Guaranteed)).Msg("configuration_in_force")
}

// bootTime returns the time since the machine started. Unlike the monotonic
// clock it goes on while the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("no boot time: " + err.Error())
	}
	return time.Duration(t.Nano())
}
