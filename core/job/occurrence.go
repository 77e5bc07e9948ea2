package job

import (
	"slices"
	"time"

	"bramleythread/io/wire"
)

// openDueOccurrences creates the first stages of occurrences that are due.
func (e *Engine) openDueOccurrences(now time.Time) {
	for _, j := range e.jobList {
		if j.RepeatCount > 0 && !j.state.Final() {
			e.openOccurrences(j, now)
		}
	}
}

// openOccurrences opens the due occurrences of a job, in order, while their tasks and
// those of the open ones are no more than MaxTasks, so that the job's progress fits
// into a row.
func (e *Engine) openOccurrences(j *Job, now time.Time) {
	perOccurrence := 0
	for i := range j.Steps {
		perOccurrence += j.Steps[i].Count
	}
	open := len(j.openOccurrences)
	for occurrence := range j.RepeatCount {
		due := j.FirstRun.Add(time.Duration(occurrence) * j.Interval)
		if now.UnixMilli() < due.UnixMilli() {
			return
		}
		if j.doneOccurrences[occurrence] || j.openOccurrences[occurrence] {
			continue
		}
		if open > 0 && (open+1)*perOccurrence > MaxTasks {
			return
		}
		open++
		j.openOccurrences[occurrence] = true
		e.createReadyStages(j, occurrence, now)
	}
}

// closeOccurrences forgets the stages of occurrences that are done and have no run
// left, of which only the number is kept.
func (j *Job) closeOccurrences() {
	for occurrence := range j.openOccurrences {
		if !j.occurrenceDone(occurrence) {
			continue
		}
		delete(j.openOccurrences, occurrence)
		j.doneOccurrences[occurrence] = true
		for i := range j.Steps {
			delete(j.stages, stageKey{occurrence, i})
		}
		j.stageList = slices.DeleteFunc(j.stageList, func(s *stage) bool { return s.key.occurrence == occurrence })
	}
}

// occurrenceDone reports whether all tasks of an occurrence are done and none of
// them has a run.
func (j *Job) occurrenceDone(occurrence int) bool {
	for i := range j.Steps {
		s := j.stages[stageKey{occurrence, i}]
		if s == nil || s.tasksLeft > 0 || s.activeRuns > 0 {
			return false
		}
	}
	return true
}

// doneRanges returns the occurrences that are done.
func (j *Job) doneRanges() []wire.OccurrenceRange {
	var ranges []wire.OccurrenceRange
	for occurrence := range j.RepeatCount {
		if !j.doneOccurrences[occurrence] {
			continue
		}
		if n := len(ranges); n > 0 && ranges[n-1].To == occurrence {
			ranges[n-1].To++
			continue
		}
		ranges = append(ranges, wire.OccurrenceRange{From: occurrence, To: occurrence + 1})
	}
	return ranges
}

// restoreDone marks the occurrences in ranges as done.
func (j *Job) restoreDone(ranges []wire.OccurrenceRange) {
	for _, r := range ranges {
		for occurrence := max(r.From, 0); occurrence < min(r.To, j.RepeatCount); occurrence++ {
			j.doneOccurrences[occurrence] = true
		}
	}
}
