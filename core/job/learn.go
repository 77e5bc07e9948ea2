package job

import (
	"time"

	"bramleythread/core/estimate"
)

// newestRunWeight is the weight of the newest run in the moving average, which so
// covers about ten runs.
const newestRunWeight = 0.1

// defaultRunTime is the expected run time without a measured or estimated one. The
// users' kinds of work take between 2 and 9 s.
const defaultRunTime = 5 * time.Second

// queueRunTime is the measured run time of a queue's tasks.
type queueRunTime struct {
	mean time.Duration // moving average, for a worker at full speed near the data
	runs int
}

// recordRunTime adds the run time of a completed task to the average of its queue.
// It ignores tasks with a checkpoint, whose last run may have done only a part.
func (e *Engine) recordRunTime(r *run, now time.Time) {
	if r.startedAt.IsZero() || r.task.checkpoint != "" {
		return
	}
	elapsed := now.Sub(r.startedAt)
	measured := e.runTimes[r.task.stage.job.Queue]
	if measured == nil {
		measured = &queueRunTime{mean: elapsed}
		e.runTimes[r.task.stage.job.Queue] = measured
	}
	measured.runs++
	measured.mean += time.Duration(newestRunWeight * float64(elapsed-measured.mean))
}

// expectedRunTime returns the expected run time of a task on a worker of median speed.
func (e *Engine) expectedRunTime(s *stage) time.Duration {
	if d, ok := e.knownRunTime(s); ok {
		return d
	}
	if e.cfg.Policy.NoSpeeds {
		return e.meanRunTime(s)
	}
	if version := e.speeds.Version(); s.expected.version != version || s.expected.Median == 0 {
		s.expected = keptForecast{e.speeds.Forecast(s.estimatedWork()), version}
	}
	return s.expected.Median
}

// meanRunTime returns the mean run time of the tasks of the stage's queue. The caller's
// estimate is used only until a run of the queue has been measured.
func (e *Engine) meanRunTime(s *stage) time.Duration {
	if measured := e.runTimes[s.job.Queue]; measured != nil {
		return measured.mean
	}
	if s.step.Estimate > 0 {
		return s.step.Estimate
	}
	return defaultRunTime
}

// longRunningTime is the expected run time of work that ends only when cancelled.
const longRunningTime = 365 * 24 * time.Hour

// expectedOccupancy returns how long a task of the stage is expected to occupy its
// resources.
func (e *Engine) expectedOccupancy(s *stage) time.Duration {
	if s.step.LongRunning {
		return longRunningTime
	}
	return e.expectedRunTime(s)
}

// Minimum progress of a run from which its remaining time is extrapolated.
const (
	minGainPercent = 3 // percent
	minGainTime    = 300 * time.Millisecond
)

// expectedRemaining returns how much longer a run is expected to take. The run's own
// progress is more accurate than what is known of its step and workers.
func (e *Engine) expectedRemaining(r *run, now time.Time) time.Duration {
	if r.task.stage.step.LongRunning {
		return longRunningTime
	}
	expected := e.forecastRun(r).Median
	if r.startedAt.IsZero() {
		return expected
	}
	if d, ok := e.knownRemaining(r, now); ok {
		return d
	}
	gain, elapsed := r.percent-r.firstPercent, r.progressAt.Sub(r.measuredFrom)
	left := expected - now.Sub(r.measuredFrom)
	if !e.cfg.Policy.NoSpeeds {
		left -= expected * time.Duration(r.firstPercent) / 100
	}
	if gain >= minGainPercent && elapsed >= minGainTime {
		left = elapsed*time.Duration(100-r.percent)/time.Duration(gain) - now.Sub(r.progressAt)
	}
	return max(left, expected/20)
}

// forecastRun returns the expected time of the whole work of a run's task on the run's
// worker, or of its gang on the members' workers.
func (e *Engine) forecastRun(r *run) estimate.Forecast {
	if e.cfg.Policy.NoSpeeds {
		return estimate.Forecast{Median: e.meanRunTime(r.task.stage)}
	}
	if version := e.speeds.Version(); r.expected.version != version || r.expected.Median == 0 {
		r.expected = keptForecast{e.speeds.Forecast(r.task.stage.estimatedWork(), speedIDs(r.members())...), version}
	}
	return r.expected.Forecast
}

// forecastPlacement returns the expected run time of the task on each of the chosen
// workers, or of the gang on all of them.
func (e *Engine) forecastPlacement(s *stage, chosen []*Worker) []estimate.Forecast {
	forecasts := make([]estimate.Forecast, len(chosen))
	if s.step.LongRunning {
		return forecasts
	}
	ids := make([]string, len(chosen))
	for i, w := range chosen {
		ids[i] = w.speedKey()
	}
	for i := range chosen {
		switch {
		case e.cfg.Policy.NoSpeeds:
			forecasts[i].Median = e.meanRunTime(s)
		case !s.step.Gang:
			forecasts[i] = e.speeds.Forecast(s.estimatedWork(), ids[i])
		case i == 0:
			forecasts[i] = e.speeds.Forecast(s.estimatedWork(), ids...)
		default:
			forecasts[i] = forecasts[0]
		}
	}
	return forecasts
}

// keptForecast is a forecast and the version of Engine.speeds that it is of. A tick
// uses most forecasts many times.
type keptForecast struct {
	estimate.Forecast
	version uint64
}
