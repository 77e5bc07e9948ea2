package caller

import "sync"

const (
	retryBurst = 10  // retries that may follow on a quiet time
	oneRetry   = 100 // hundredths
)

// budget bounds retries to a share of the first attempts, so that retries
// cannot multiply load.
type budget struct {
	mu     sync.Mutex
	tokens int // hundredths of a retry
	filled bool
}

// earn notes a first attempt, which allows percent of a retry.
func (b *budget) earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(b.tokens+percent, retryBurst*oneRetry)
}

// spend takes one retry; it reports false if there is none left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < oneRetry {
		return false
	}
	b.tokens -= oneRetry
	return true
}

// fill starts the budget with a burst.
func (b *budget) fill() {
	if !b.filled {
		b.filled = true
		b.tokens = retryBurst * oneRetry
	}
}
