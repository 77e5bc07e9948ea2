package job

import (
	"strings"
	"testing"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestLargeStartsInParts guards against orders that are too large for a slow link. Each
// message must be limited and list all starts, and the agent get each of them.
func TestLargeStartsInParts(t *testing.T) {
	is := is.New(t)
	const count = 100
	f := newTestCluster(t)
	f.workers(1)
	j := f.job("j", 1, wire.JobStep{Count: count, Demand: wire.Resources{CPU: 20, Memory: 20}})
	j.Spec = strings.Repeat("x", 4000)
	f.e.Submit(j, f.now)
	f.tick()
	taken := make(map[wire.TaskRun]bool)
	for message := 0; len(taken) < count; message++ {
		o, ok := f.e.Orders(node(0))
		is.True(ok)
		is.Equal(len(o.Starts)+len(o.OtherStarts), count) // a start that is not listed would be stopped
		size := 0
		for _, s := range o.Starts {
			size += s.Msgsize()
			r := wire.TaskRun{Task: s.Task, Run: s.Run}
			is.True(!taken[r]) // sent again though the agent has it
			is.Equal(s.Spec, j.Spec)
			if message == 0 {
				continue // the first message is lost
			}
			taken[r] = true
		}
		is.True(len(o.Starts) > 0 && size <= maxStartsSize)
		f.report(node(0), func(r *wire.WorkerReport) {
			r.Running = nil
			for s := range taken {
				r.Pending = append(r.Pending, s)
			}
		}, nil)
	}
	f.report(node(0), func(r *wire.WorkerReport) { r.Running = nil }, nil) // the agent has started again
	o, _ := f.e.Orders(node(0))
	is.True(len(o.Starts) > 0)
	is.Equal(len(o.Starts)+len(o.OtherStarts), count)
}
