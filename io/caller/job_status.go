package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bramleythread/io/scheduler"
	"bramleythread/io/wire"
)

// Paths served to operators on an entry's metrics address.
const (
	SchedulerStatusPath = "/pool"  // status of the scheduler and its workers
	JobReportPath       = "/jobs/" // followed by a job's id; progress of the job
)

// JobReport combines a job's stored rows with the scheduler's state of the job.
type JobReport struct {
	ID           string              `json:"id"`
	Stored       bool                `json:"stored"`    // the job's row exists
	Cancelled    bool                `json:"cancelled"` // the job's cancellation row exists
	RowState     wire.JobState       `json:"row"`       // state in the progress row; empty if nothing has started
	StoreErr     string              `json:"store_error,omitempty"`
	SchedulerErr string              `json:"scheduler_error,omitempty"`
	Scheduler    *wire.ExplainAnswer `json:"scheduler,omitempty"`
}

// RegisterStatus adds the operators' paths to mux.
func (s *Jobs) RegisterStatus(mux *http.ServeMux) {
	mux.HandleFunc("GET "+SchedulerStatusPath, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), storeReadTimeout)
		defer cancel()
		m, err := s.CallScheduler(ctx, &wire.StatusQuery{})
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeReportJSON(w, m)
	})
	mux.HandleFunc("GET "+JobReportPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		writeReportJSON(w, s.Report(r.Context(), r.PathValue("id")))
	})
}

func writeReportJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// Report collects what is known about a job. If the store or the scheduler cannot
// be reached, the error is part of the report.
func (s *Jobs) Report(ctx context.Context, id string) JobReport {
	report := JobReport{ID: id}
	ctx, cancel := context.WithTimeout(ctx, 2*storeReadTimeout)
	defer cancel()
	m, err := s.CallScheduler(ctx, &wire.ExplainQuery{ID: id})
	if a, ok := m.(*wire.ExplainAnswer); ok && err == nil {
		report.Scheduler = a
	} else if err != nil {
		report.SchedulerErr = err.Error()
	}
	if err := s.readJobRows(ctx, &report); err != nil {
		report.StoreErr = err.Error()
	}
	return report
}

func (s *Jobs) readJobRows(ctx context.Context, report *JobReport) error {
	key := scheduler.TableJob + "/" + report.ID
	row, err := s.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	cancellation, err := s.Store.Get(ctx, key+scheduler.CancelSuffix)
	if err != nil {
		return err
	}
	progress, err := s.Store.Get(ctx, scheduler.TableProgress+"/"+report.ID)
	if err != nil {
		return err
	}
	report.Stored, report.Cancelled = row.Revision != 0, cancellation.Revision != 0
	if progress.Revision == 0 {
		return nil
	}
	var p wire.JobProgress
	_, err = p.UnmarshalMsg(progress.Value)
	report.RowState = p.State
	return err
}

// Summary returns the report in one line.
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
	summary := string(r.Scheduler.State) + " for " + r.Scheduler.Age.Round(time.Millisecond).String()
	for _, s := range r.Scheduler.Stages {
		if s.Waits != "" && !r.Scheduler.State.Final() {
			summary += "; waits: " + s.Waits
		}
	}
	return summary
}
