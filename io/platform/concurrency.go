package platform

import "context"

// WithLimit returns a store with at most n concurrent reads and commits. Further ones
// wait. Those that make way for nobody else, such as the scheduler's, use the store
// without a limit, so that callers cannot delay them.
func (s Store) WithLimit(n int) Store {
	slots := make(chan struct{}, n)
	acquire := func(ctx context.Context, op string) error {
		select {
		case slots <- struct{}{}:
			return nil
		case <-ctx.Done():
			return &UnavailableError{Op: op, Cause: ctx.Err()} // nothing was sent
		}
	}
	limited := s
	limited.Get = func(ctx context.Context, key string) (Row, error) {
		if err := acquire(ctx, "get"); err != nil {
			return Row{}, err
		}
		defer func() { <-slots }()
		return s.Get(ctx, key)
	}
	limited.Scan = func(ctx context.Context, prefix string) ([]Row, error) {
		if err := acquire(ctx, "scan"); err != nil {
			return nil, err
		}
		defer func() { <-slots }()
		return s.Scan(ctx, prefix)
	}
	limited.Commit = func(ctx context.Context, t Txn) (uint64, error) {
		if err := acquire(ctx, "commit"); err != nil {
			return 0, err
		}
		defer func() { <-slots }()
		return s.Commit(ctx, t)
	}
	return limited
}
