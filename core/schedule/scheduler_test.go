package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/core/config"
)

func report(name string, incarnation, sequence uint64, free int) WorkerReport {
	return WorkerReport{
		Name:        name,
		Incarnation: incarnation,
		Sequence:    sequence,
		Zone:        "z",
		Rack:        "r",
		Ready:       true,
		Capacity:    config.Demand{Slots: 8, Accelerators: 8},
		Services:    []string{"task"},
		Usage:       []CustomerUsage{{Customer: "other", Used: config.Demand{Slots: 8 - free, Accelerators: 8 - free}}},
	}
}

func TestOutOfOrderReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := New(DefaultPolicy())
	s.Report(report("w", 2, 5, 3), start)
	for _, old := range []WorkerReport{report("w", 2, 5, 8), report("w", 2, 4, 8), report("w", 1, 9, 8)} {
		s.Report(old, start)
		is.Equal(s.Workers()[0].Free().Slots, 3)
	}
	s.Report(report("w", 3, 1, 8), start) // a restarted agent restarts its sequence
	is.Equal(s.Workers()[0].Free().Slots, 8)
}

func TestRemovedStaleWorkerFreesItsUsage(t *testing.T) {
	is := is.New(t)
	s := New(DefaultPolicy())
	s.Report(report("gone", 1, 1, 3), start)
	s.Report(report("here", 1, 1, 8), start.Add(time.Hour))
	is.Equal(s.RemoveStaleWorkers(start.Add(time.Minute)), []string{"gone"})
	is.Equal(len(s.Workers()), 1)
	is.Equal(s.freeSlots, 8)
	is.Equal(s.totalCapacity.Slots, 8)
	is.True(s.usedByCustomer["other"].IsZero())
}

func TestWorkerWithoutRecentReportGetsNoJobs(t *testing.T) {
	is := is.New(t)
	s := New(DefaultPolicy())
	cfg := benchConfig(10)
	s.SetConfig(cfg)
	s.Report(report("w", 1, 1, 8), start)
	later := start.Add(ReportTimeout + time.Millisecond)
	s.Submit(Spec{ID: "j", Customer: "team-1", Service: "task", Deadline: later.Add(time.Minute)}, later)
	is.Equal(len(s.Tick(later)), 0)
	s.Report(report("w", 1, 2, 8), later)
	is.Equal(len(s.Tick(later)), 1)
}
