package caller

import "sync"

const (
	retryBurst     = 10  // initial and maximum number of retries in the budget
	tokensPerRetry = 100 // a token is a hundredth of a retry
)

// retryBudget is a token bucket that limits retries to a percentage of the
// accepted requests, so that retries cannot multiply load.
type retryBudget struct {
	mu          sync.Mutex
	tokens      int // hundredths of a retry; see tokensPerRetry
	initialized bool
}

// deposit adds the given percentage of one retry for an accepted request.
func (b *retryBudget) deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	b.tokens = min(b.tokens+percent, retryBurst*tokensPerRetry)
}

// tryWithdraw takes one retry from the budget, and reports whether one was left.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

// initialize fills an unused budget with retryBurst retries. The caller holds mu.
func (b *retryBudget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.tokens = retryBurst * tokensPerRetry
	}
}
