package scheduler

import (
	"context"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// linkSilence ends a connection to or from the scheduler on which nothing
// arrives: four keep-alives.
const linkSilence = 4 * frame.KeepAlive

// linkDial bounds a connection attempt with its handshake: many round trips
// between zones. The holder of the lease may be a machine without power.
const linkDial = 500 * time.Millisecond

// Link keeps a process connected to whoever is the scheduler.
type Link struct {
	cfg  LinkConfig
	conn chan *frame.Conn // holds the open connection, if there is one
}

// LinkConfig sets up a link.
type LinkConfig struct {
	Local  wire.Hello
	Store  platform.Store
	Handle func(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message
	Log    zerolog.Logger
}

// NewLink returns a link that is not connected.
func NewLink(cfg LinkConfig) *Link {
	return &Link{cfg: cfg, conn: make(chan *frame.Conn, 1)}
}

// Conn returns the open connection, or nil.
func (l *Link) Conn() *frame.Conn {
	select {
	case c := <-l.conn:
		l.conn <- c
		if c.Closed() {
			return nil
		}
		return c
	default:
		return nil
	}
}

func (l *Link) set(c *frame.Conn) {
	select {
	case <-l.conn:
	default:
	}
	if c != nil {
		l.conn <- c
	}
}

// dial connects to the holder of a lease.
func (l *Link) dial(ctx context.Context, lease wire.SchedulerLease) (*frame.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, linkDial)
	defer cancel()
	c, err := frame.Dial(ctx, lease.Address, frame.Config{
		Local: l.cfg.Local, Key: lease.Key, Handle: l.cfg.Handle, Silence: linkSilence,
	})
	if err != nil {
		return nil, err
	}
	l.set(c)
	l.cfg.Log.Info().Str("scheduler", lease.Holder).Uint64("epoch", lease.Epoch).Msg("scheduler_linked")
	return c, nil
}

// Run keeps the link up until ctx ends. connected is called with each new
// connection.
func (l *Link) Run(ctx context.Context, connected func(c *frame.Conn)) {
	var lease wire.SchedulerLease
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		found, revision, err := readLease(callCtx, l.cfg.Store)
		cancel()
		if err == nil && revision != 0 {
			lease = found
		}
		if !lease.Address.IsValid() || lease.Released {
			_ = sleep(ctx, jitter(pollUnlinked))
			continue
		}
		c, err := l.dial(ctx, lease)
		if err != nil {
			l.cfg.Log.Debug().Err(err).Msg("scheduler_not_reached")
			_ = sleep(ctx, jitter(pollUnlinked))
			continue
		}
		connected(c)
		select {
		case <-c.Done():
			l.cfg.Log.Warn().Str("scheduler", lease.Holder).Uint64("epoch", lease.Epoch).Msg("scheduler_lost")
		case <-ctx.Done():
			c.Close()
		}
		_ = sleep(ctx, jitter(linkPause))
	}
}

// linkPause is the least time between two connections, so that a scheduler that
// turns links away is not called in a tight loop.
const linkPause = 100 * time.Millisecond
