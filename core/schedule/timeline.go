package schedule

import (
	"container/heap"
	"time"
)

// noIndex is the heap index of a job that is not in the timeline.
const noIndex = -1

// timeline is a heap of jobs ordered by a time, earliest first.
type timeline struct {
	jobs  []*Job
	at    func(*Job) time.Time
	index func(*Job) *int
}

// Len implements heap.Interface.
func (t *timeline) Len() int { return len(t.jobs) }

// Less implements heap.Interface.
func (t *timeline) Less(i, j int) bool { return t.at(t.jobs[i]).Before(t.at(t.jobs[j])) }

// Swap implements heap.Interface.
func (t *timeline) Swap(i, j int) {
	t.jobs[i], t.jobs[j] = t.jobs[j], t.jobs[i]
	*t.index(t.jobs[i]) = i
	*t.index(t.jobs[j]) = j
}

// Push implements heap.Interface.
func (t *timeline) Push(x any) {
	j := x.(*Job)
	*t.index(j) = len(t.jobs)
	t.jobs = append(t.jobs, j)
}

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	last := len(t.jobs) - 1
	j := t.jobs[last]
	t.jobs[last] = nil
	t.jobs = t.jobs[:last]
	*t.index(j) = noIndex
	return j
}

func (t *timeline) add(j *Job) { heap.Push(t, j) }

func (t *timeline) remove(j *Job) {
	if i := *t.index(j); i != noIndex {
		heap.Remove(t, i)
	}
}

// popDue removes and returns the earliest job if its time has come, or nil.
func (t *timeline) popDue(now time.Time) *Job {
	if len(t.jobs) == 0 || now.Before(t.at(t.jobs[0])) {
		return nil
	}
	return heap.Pop(t).(*Job)
}

// next returns the earliest time. ok is false if the timeline is empty.
func (t *timeline) next() (at time.Time, ok bool) {
	if len(t.jobs) == 0 {
		return time.Time{}, false
	}
	return t.at(t.jobs[0]), true
}
