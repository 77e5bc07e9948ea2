package logfmt

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Rate limit of the log.
const (
	// maxLinesPerWindow is the number of lines of one event that are written in
	// one window. Further lines add no information and take processor time from
	// requests. The limit is high enough to log every placement of a job with
	// two hundred tasks.
	maxLinesPerWindow = 200

	// rateWindow is the period over which lines are counted.
	rateWindow = time.Second
)

// rateLimiter limits the rate of lines per event and counts the suppressed ones.
type rateLimiter struct {
	now       func() time.Time
	unlimited zerolog.Logger // writes the counts

	mu          sync.Mutex
	windowStart time.Time
	written     map[string]int
	suppressed  map[string]int
	dropped     int // lines that did not fit into the ring buffer
}

func newRateLimiter(unlimited zerolog.Logger, now func() time.Time) *rateLimiter {
	return &rateLimiter{now: now, unlimited: unlimited, windowStart: now(), written: make(map[string]int), suppressed: make(map[string]int)}
}

// Run implements zerolog.Hook. It discards the line if its event has reached the
// limit; the message of a line is the name of its event.
func (l *rateLimiter) Run(e *zerolog.Event, _ zerolog.Level, event string) {
	if !l.allow(event) {
		e.Discard()
	}
}

func (l *rateLimiter) allow(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.windowStart) >= rateWindow {
		l.logSuppressed()
		l.windowStart = now
	}
	if l.written[event] >= maxLinesPerWindow {
		l.suppressed[event]++
		return false
	}
	l.written[event]++
	return true
}

// addDropped counts lines that did not fit into the ring buffer.
func (l *rateLimiter) addDropped(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped += n
}

// logSuppressed logs the counts of the window that ends and resets them. The
// caller holds mu.
func (l *rateLimiter) logSuppressed() {
	for event, n := range l.suppressed {
		l.unlimited.Warn().Str("of", event).Int("lines", n).Msg("suppressed")
	}
	if l.dropped > 0 {
		l.unlimited.Warn().Str("of", "all").Int("lines", l.dropped).Msg("suppressed")
	}
	l.dropped = 0
	clear(l.written)
	clear(l.suppressed)
}
