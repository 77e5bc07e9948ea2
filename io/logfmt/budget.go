package logfmt

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Bounds of the log under load.
const (
	// linesPerSecond of one event are written; more than that tells nobody
	// more, and costs processor time that requests need. A job of two hundred
	// tasks is placed within it.
	linesPerSecond = 200

	// budgetWindow is the time over which lines are counted.
	budgetWindow = time.Second
)

// budget bounds the lines of each event, and counts those that it keeps back.
type budget struct {
	now   func() time.Time
	plain zerolog.Logger // for the counts themselves

	mu      sync.Mutex
	start   time.Time // of the window
	written map[string]int
	kept    map[string]int
	dropped int // lines that the ring has lost
}

func newBudget(plain zerolog.Logger, now func() time.Time) *budget {
	return &budget{now: now, plain: plain, start: now(), written: make(map[string]int), kept: make(map[string]int)}
}

// Run discards a line of an event that has used up its budget. It is a hook of
// zerolog, whose messages are the names of events.
func (b *budget) Run(e *zerolog.Event, _ zerolog.Level, event string) {
	if !b.allow(event) {
		e.Discard()
	}
}

func (b *budget) allow(event string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.start) >= budgetWindow {
		b.flush()
		b.start = now
	}
	if b.written[event] >= linesPerSecond {
		b.kept[event]++
		return false
	}
	b.written[event]++
	return true
}

// lost counts lines that did not fit into the ring.
func (b *budget) lost(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped += n
}

// flush writes the counts of the window that ends. The caller holds the lock.
func (b *budget) flush() {
	for event, n := range b.kept {
		b.plain.Warn().Str("of", event).Int("lines", n).Msg("suppressed")
	}
	if b.dropped > 0 {
		b.plain.Warn().Str("of", "all").Int("lines", b.dropped).Msg("suppressed")
	}
	b.dropped = 0
	clear(b.written)
	clear(b.kept)
}
