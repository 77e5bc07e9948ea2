package worker_test

import (
	"context"
	"testing"
	"time"

	"bramleythread/io/wire"
	"bramleythread/io/worker"

	"github.com/matryer/is"
)

// TestCrashBreaksWaitingCalls guards against a stand-in that goes on to answer a call
// which was open when the worker crashed, and so hides the crash.
func TestCrashBreaksWaitingCalls(t *testing.T) {
	is := is.New(t)
	standin := worker.NewStandin(worker.StandinConfig{Info: wire.WorkerInfo{Instance: "i-1", Born: 1}})
	result := make(chan error, 1)
	go func() {
		_, err := standin.Worker().Hold(context.Background(), worker.HoldRequest{Instance: "i-1", Wait: 100 * time.Millisecond})
		result <- err
	}()
	time.Sleep(10 * time.Millisecond) // until the call waits
	standin.Crash()
	is.True(<-result != nil)
}
