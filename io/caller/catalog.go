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
	catalogWait   = 2 * time.Second         // a long poll of the store; the age of what is known stays near it
	catalogMargin = 1500 * time.Millisecond // beyond the wait, for a slow store's answer
	catalogPause  = 150 * time.Millisecond  // after a failure
)

// CatalogConfig sets up a follower.
type CatalogConfig struct {
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
	changed   chan struct{} // closed at the next change
}

// FollowCatalog starts a follower.
func FollowCatalog(cfg CatalogConfig) *Catalog {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Catalog{cfg: cfg, stop: cancel, done: make(chan struct{}), changed: make(chan struct{})}
	go c.run(ctx)
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
		callCtx, cancel := context.WithTimeout(ctx, catalogWait+catalogMargin)
		changes, err := c.cfg.Store.Watch(callCtx, c.cfg.Table, after, catalogWait)
		cancel()
		var lost *platform.HistoryError
		switch {
		case err == nil:
			after = max(changes.Revision, 1)
			c.take(changes, asked)
		case errors.As(err, &lost):
			after = 0
		case ctx.Err() == nil:
			_, age := c.Get()
			c.cfg.Log.Warn().Err(err).Dur("age", age).Msg("configuration_feed_interrupted")
			t := time.NewTimer(catalogPause)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
		}
	}
}

// take takes in changes that were asked for at a boot time.
func (c *Catalog) take(changes platform.Changes, asked time.Duration) {
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
		c.confirmed = asked
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
