package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bramleythread/io/scheduler"
	"bramleythread/io/wire"
)

// Paths that operators read on an entry's metrics address.
const (
	SchedulerStatusPath = "/pool"  // the scheduler and its workers
	JobReportPath       = "/jobs/" // and a job's id: how far it has come
)

// JobReport is all that an entry finds out about a job: its rows, and what the
// scheduler tells of it.
type JobReport struct {
	ID           string              `json:"id"`
	Stored       bool                `json:"stored"`    // its row is in the table
	Cancelled    bool                `json:"cancelled"` // its caller has cancelled it
	RowState     wire.JobState       `json:"row"`       // the state in its row; empty if nothing of it has begun
	StoreErr     string              `json:"store_error,omitempty"`
	SchedulerErr string              `json:"scheduler_error,omitempty"`
	Scheduler    *wire.ExplainAnswer `json:"scheduler,omitempty"`
}

// RegisterStatus adds the paths for operators.
func (s *Jobs) RegisterStatus(mux *http.ServeMux) {
	mux.HandleFunc("GET "+SchedulerStatusPath, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), lookLimit)
		defer cancel()
		m, err := s.CallScheduler(ctx, &wire.StatusQuery{})
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeReport(w, m)
	})
	mux.HandleFunc("GET "+JobReportPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		writeReport(w, s.Report(r.Context(), r.PathValue("id")))
	})
}

func writeReport(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may have left
}

// Report finds out what it can about a job. What cannot be reached is said so.
func (s *Jobs) Report(ctx context.Context, id string) JobReport {
	report := JobReport{ID: id}
	ctx, cancel := context.WithTimeout(ctx, 2*lookLimit)
	defer cancel()
	m, err := s.CallScheduler(ctx, &wire.ExplainQuery{ID: id})
	if a, ok := m.(*wire.ExplainAnswer); ok && err == nil {
		report.Scheduler = a
	} else if err != nil {
		report.SchedulerErr = err.Error()
	}
	if err := s.reportRows(ctx, &report); err != nil {
		report.StoreErr = err.Error()
	}
	return report
}

func (s *Jobs) reportRows(ctx context.Context, report *JobReport) error {
	key := scheduler.TableJob + "/" + report.ID
	row, err := s.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	mark, err := s.Store.Get(ctx, key+scheduler.CancelSuffix)
	if err != nil {
		return err
	}
	progress, err := s.Store.Get(ctx, scheduler.TableProgress+"/"+report.ID)
	if err != nil {
		return err
	}
	report.Stored, report.Cancelled = row.Revision != 0, mark.Revision != 0
	if progress.Revision == 0 {
		return nil
	}
	var p wire.JobProgress
	_, err = p.UnmarshalMsg(progress.Value)
	report.RowState = p.State
	return err
}

// Summary says in one line what the report shows.
func (r *JobReport) Summary() string {
	known := r.Scheduler != nil && r.Scheduler.Known
	switch {
	case r.StoreErr != "" && r.Scheduler == nil:
		return "neither the store nor a scheduler can be asked"
	case r.StoreErr == "" && !r.Stored:
		return "no such job is stored: it was never accepted, or its state has expired"
	case !known && r.RowState == "":
		return "stored, nothing of it has begun, and no scheduler knows it"
	case !known:
		return "stored as " + string(r.RowState) + ", and no scheduler knows it now"
	}
	verdict := string(r.Scheduler.State) + " for " + r.Scheduler.Age.Round(time.Millisecond).String()
	for _, s := range r.Scheduler.Stages {
		if s.Waits != "" && !r.Scheduler.State.Final() {
			verdict += "; waits: " + s.Waits
		}
	}
	return verdict
}
