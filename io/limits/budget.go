package limits

import (
	"sync"
	"time"
)

const (
	// smallBody is the size up to which a body may use the whole budget. Larger ones
	// leave an eighth of it, so that ordinary requests never wait for them.
	smallBody     = connCost // all connections together cannot use up the budget with such bodies
	smallFraction = 8

	// releaseWait limits the wait for refused bodies to be released.
	releaseWait = 2 * time.Second
)

// budget is the number of bytes that all requests of a process may hold.
type budget struct {
	total int64

	mu       sync.Mutex
	used     int64
	leaving  int64               // held by refused bodies that are not released yet
	reading  map[*lease]struct{} // bodies that are still arriving
	released chan struct{}       // closed at the next release if somebody waits
	waiting  int
}

// lease is the part of a budget that one request holds.
type lease struct {
	b       *budget
	started time.Time

	// Guarded by b.mu.
	held    int64
	refused bool // in favor of other bodies
	closed  bool

	interrupt func() // ends a blocked read of the body
}

func newBudget(total int64) *budget {
	return &budget{total: total, reading: make(map[*lease]struct{}), released: make(chan struct{})}
}

func (b *budget) inUse() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.used)
}

// open returns a lease of nothing. It is not refused in favor of others until await is
// called.
func (b *budget) open() *lease { return &lease{b: b, started: time.Now()} }

// await marks the lease as that of a body that is arriving. interrupt is called, with
// b.mu held, when the body is refused.
func (l *lease) await(interrupt func()) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.interrupt = interrupt
	if !l.closed {
		l.b.reading[l] = struct{}{}
	}
}

// grow acquires n more bytes. If the budget is short it refuses the largest and
// slowest bodies and waits for their release. It reports whether it has acquired the
// bytes; if not, this body is refused.
func (l *lease) grow(n int64) bool {
	b := l.b
	b.mu.Lock()
	defer b.mu.Unlock()
	var timeout <-chan time.Time
	for !l.refused && !l.closed {
		limit := b.total
		if l.held+n > smallBody {
			limit -= b.total / smallFraction
		}
		if b.used+n <= limit {
			b.used += n
			l.held += n
			return true
		}
		if l.held+n > limit || !b.refuseUntil(b.used+n-limit, l) {
			break
		}
		released := b.released
		if timeout == nil {
			t := time.NewTimer(releaseWait)
			defer t.Stop()
			timeout = t.C
		}
		b.waiting++
		b.mu.Unlock()
		expired := false
		select {
		case <-released:
		case <-timeout:
			expired = true
		}
		b.mu.Lock()
		b.waiting--
		if expired {
			return false
		}
	}
	return false
}

// refuseUntil refuses bodies until n bytes are about to be released. It reports false
// if the requesting body is to be refused itself. The caller holds mu.
func (b *budget) refuseUntil(n int64, requester *lease) bool {
	now := time.Now()
	for b.leaving < n {
		worst := requester
		for l := range b.reading {
			if !l.refused && l.badness(now) > worst.badness(now) {
				worst = l
			}
		}
		if worst == requester {
			return false
		}
		worst.refused = true
		b.leaving += worst.held
		worst.interrupt()
	}
	return true
}

// badness orders bodies by size and time: it is greatest for the largest and slowest
// one.
func (l *lease) badness(now time.Time) float64 {
	return float64(l.held) * now.Sub(l.started).Seconds()
}

// shrink releases n bytes.
func (l *lease) shrink(n int64) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.release(n)
}

// complete marks the body as complete. It is no longer refused in favor of others.
func (l *lease) complete() bool {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	delete(l.b.reading, l)
	return !l.refused
}

// close releases all bytes.
func (l *lease) close() {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.closed = true
	delete(l.b.reading, l)
	l.release(l.held)
}

// release releases n bytes and wakes those who wait. The caller holds mu.
func (l *lease) release(n int64) {
	if n == 0 {
		return
	}
	b := l.b
	l.held -= n
	b.used -= n
	if l.refused {
		b.leaving -= n
	}
	if b.waiting > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}
