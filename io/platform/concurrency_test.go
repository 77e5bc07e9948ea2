package platform

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestLimitedStore guards against callers that hold more calls to the store than their
// limit, and against a call that was never sent but may count as applied.
func TestLimitedStore(t *testing.T) {
	is := is.New(t)
	standin := NewStandin()
	store := standin.Store()
	entered, leave := make(chan struct{}), make(chan struct{})
	get := store.Get
	store.Get = func(ctx context.Context, key string) (Row, error) {
		entered <- struct{}{}
		<-leave
		return get(ctx, key)
	}
	limited := store.WithLimit(1)
	done := make(chan error)
	go func() {
		_, err := limited.Get(context.Background(), "t/k")
		done <- err
	}()
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := limited.Commit(ctx, Txn{Writes: []Write{{Key: "t/k", Value: []byte("v")}}})
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.True(!unavailable.MaybeApplied)
	_, err = limited.Scan(ctx, "t/")
	is.True(errors.As(err, &unavailable))
	close(leave)
	is.NoErr(<-done)
	_, err = limited.Commit(context.Background(), Txn{Writes: []Write{{Key: "t/k", Value: []byte("v")}}})
	is.NoErr(err)
}
