package schedule

import (
	"container/list"
	"math"
	"time"

	"bramleythread/core/config"
)

// queueKey identifies a queue. Stragglers, jobs that have run much longer than
// their service usually does, wait in queues of their own.
type queueKey struct {
	customer  string
	service   string
	straggler bool
}

// queue holds the jobs of one customer and service, oldest first.
type queue struct {
	key     queueKey
	shape   config.Shape
	class   int // priority class; 0 is urgent
	jobs    list.List
	running list.List // placed jobs in placement order
	blocked bool      // empty, or its head cannot be placed in this tick
}

func (q *queue) push(j *Job) { j.queueElement = q.jobs.PushBack(j) }

func (q *queue) pushFront(j *Job) { j.queueElement = q.jobs.PushFront(j) }

func (q *queue) remove(j *Job) {
	if j.queueElement == nil {
		return
	}
	q.jobs.Remove(j.queueElement)
	j.queueElement = nil
}

// head returns the oldest job, or nil.
func (q *queue) head() *Job {
	e := q.jobs.Front()
	if e == nil {
		return nil
	}
	return e.Value.(*Job)
}

// runTimeWeight is the weight of a new run time in the moving average.
const runTimeWeight = 0.1

// minLearnedRunTime is the lower bound of observed run times.
const minLearnedRunTime = 100 * time.Microsecond

// runTimeEstimate is a moving average of the logarithm of a service's run times.
// The logarithm limits the influence of a single straggler.
type runTimeEstimate struct {
	mean  float64 // of ln(seconds)
	known bool
}

func (r *runTimeEstimate) observe(d time.Duration) {
	x := math.Log(max(d, minLearnedRunTime).Seconds())
	if !r.known {
		r.mean, r.known = x, true
		return
	}
	r.mean += runTimeWeight * (x - r.mean)
}

// value returns the estimated run time: the declared one, but at least a second,
// until a run time has been observed.
func (r *runTimeEstimate) value(declared time.Duration) time.Duration {
	if !r.known {
		return max(declared, time.Second)
	}
	return time.Duration(math.Exp(r.mean) * float64(time.Second))
}
