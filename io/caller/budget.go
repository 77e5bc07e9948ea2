package caller

import "sync"

// retryBurst is the number of retries that may follow on a quiet time.
const retryBurst = 10

// budget bounds retries to a share of the first attempts, so that retries
// cannot multiply load.
type budget struct {
	mu     sync.Mutex
	tokens float64
	filled bool
}

// earn notes a first attempt, which allows percent of a retry.
func (b *budget) earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(b.tokens+float64(percent)/100, retryBurst)
}

// spend takes one retry; it reports false if there is none left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill starts the budget with a burst.
func (b *budget) fill() {
	if !b.filled {
		b.filled = true
		b.tokens = retryBurst
	}
}
