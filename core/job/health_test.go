package job

import (
	"fmt"
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestNoWorkerIsSound lets all workers fail all that they start. They are tried
// again and again, so that work goes on soon after they have recovered.
func TestNoWorkerIsSound(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.workers(3)
	waited := time.Duration(0) // nothing runs although work waits
	for n := range 400 {
		f.now = f.now.Add(250 * time.Millisecond)
		j := f.job(fmt.Sprintf("j%d", n), 1, step(1, 8))
		j.Attempts = 1 // so that a worker sees others
		f.e.Submit(j, f.now)
		running := 0
		for i := range 3 {
			ends := make(map[wire.TaskID]wire.RunEnd)
			for id := range f.e.workers[node(i)].runs {
				ends[id] = wire.EndFailed
				running++
			}
			f.report(node(i), nil, ends)
		}
		if waited += 250 * time.Millisecond; running > 0 {
			waited = 0
		}
		is.True(waited <= 2*time.Second)
		f.tick()
	}
}

// TestLastingWorkThatFails lets lasting tasks of several jobs fail by themselves,
// long after they were at work. That says nothing of their workers.
func TestLastingWorkThatFails(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.workers(1)
	for i := range 4 {
		f.e.Submit(f.job(node(i), 1, serving(1, 2, 1)), f.now)
	}
	for round := range 20 {
		f.now = f.now.Add(time.Second)
		f.report(node(0), nil, nil)
		f.tick()
		is.Equal(len(f.e.workers[node(0)].runs), 4) // all of them run again
		f.report(node(0), atWork, nil)
		f.report(node(0), atWork, map[wire.TaskID]wire.RunEnd{{Job: node(round % 4)}: wire.EndFailed, {Job: node((round + 1) % 4)}: wire.EndFailed})
	}
}

// TestDataRackOfAnIdlePool keeps the rack with a task's data busy while the other
// racks are idle: it waits for a while only.
func TestDataRackOfAnIdlePool(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.workers(9)
	busy := step(3, 8)
	busy.DataRack = "rack-0"
	f.e.Submit(f.job("busy", 1, busy), f.now)
	f.tick()
	waits := step(1, 1)
	waits.DataRack, waits.Estimate = "rack-0", time.Minute
	f.e.Submit(f.job("waits", 1, waits), f.now)
	for range 9 {
		f.tick()
		is.Equal(len(f.runs("waits")), 0)
		f.now = f.now.Add(250 * time.Millisecond)
		f.workers(9)
	}
	f.tick()
	is.Equal(len(f.runs("waits")), 1)
}
