package schedule

import (
	"container/list"
	"math"
	"time"

	"bramleythread/core/config"
)

// laneKey names the queue of one customer's requests of one service. Jobs that
// have run for much longer than their service does wait in a queue of their
// own, as stragglers.
type laneKey struct {
	customer  string
	service   string
	straggler bool
}

// lane is a queue of jobs of one customer and service, oldest first.
type lane struct {
	key     laneKey
	shape   config.Shape
	class   int // 0 for urgent work
	jobs    list.List
	running list.List // placed jobs, in the order of their placement
	blocked bool      // nothing more can be placed in this tick
}

func (l *lane) push(j *Job) { j.element = l.jobs.PushBack(j) }

func (l *lane) pushFront(j *Job) { j.element = l.jobs.PushFront(j) }

func (l *lane) remove(j *Job) {
	if j.element == nil {
		return
	}
	l.jobs.Remove(j.element)
	j.element = nil
}

// head returns the oldest job, or nil.
func (l *lane) head() *Job {
	e := l.jobs.Front()
	if e == nil {
		return nil
	}
	return e.Value.(*Job)
}

// learnWeight is the share of a new run time in the moving average.
const learnWeight = 0.1

// minRunTime bounds the run times that are learned from below.
const minRunTime = 100 * time.Microsecond

// runTimes is a moving average of the logarithm of a service's run times, so
// that a straggler counts for its magnitude and not for its length.
type runTimes struct {
	mean  float64 // of the logarithm of seconds
	known bool
}

func (r *runTimes) observe(d time.Duration) {
	x := math.Log(max(d, minRunTime).Seconds())
	if !r.known {
		r.mean, r.known = x, true
		return
	}
	r.mean += learnWeight * (x - r.mean)
}

// typical returns the learned run time; before any was seen, the declared one.
func (r *runTimes) typical(declared time.Duration) time.Duration {
	if !r.known {
		return max(declared, time.Second)
	}
	return time.Duration(math.Exp(r.mean) * float64(time.Second))
}
