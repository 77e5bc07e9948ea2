package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
	"bramleythread/io/wire"
)

// Status is the JSON status report of one entry for operators.
type Status struct {
	Entry         string         `json:"entry"`
	Ready         bool           `json:"ready"`
	ConfigVersion uint64         `json:"config_version"`
	ConfigAuthor  string         `json:"config_author"`
	ConfigTime    time.Time      `json:"config_time"`
	PlanVersion   uint64         `json:"plan_version"`
	Missing       []plan.Missing `json:"missing_homes"`
	Homes         map[string]int `json:"homes"` // number of homes by worker
	Queued        int            `json:"queued"`
	Fragmentation float64        `json:"fragmentation"`
	Entries       []string       `json:"entries"`
	Workers       []WorkerStatus `json:"workers"`
}

// WorkerStatus is the state of one worker in a Status.
type WorkerStatus struct {
	Name          string        `json:"name"`
	Zone          string        `json:"zone"`
	Rack          string        `json:"rack"`
	Usable        bool          `json:"usable"`
	Ejected       bool          `json:"ejected"`
	Draining      bool          `json:"draining"`
	Capacity      config.Demand `json:"capacity"`
	Free          config.Demand `json:"free"`
	ConfigVersion uint64        `json:"config_version"`
	PlanVersion   uint64        `json:"plan_version"`
}

// Explanation is the history of a request, which shows why it was placed as it
// was.
type Explanation struct {
	Request  string        `json:"request"`
	Customer string        `json:"customer"`
	Service  string        `json:"service"`
	Outcome  wire.Outcome  `json:"outcome,omitempty"`
	Steps    []historyStep `json:"steps"`
}

// requireOperator reports whether a request has an operator's token. If not, it
// writes a 401 response.
func (e *Entry) requireOperator(w http.ResponseWriter, r *http.Request) bool {
	cfg, _ := e.configCache.Config()
	if cfg != nil && cfg.AuthenticateOperator(tokenDigest(r)) != nil {
		return true
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeProblem(w, problem{Status: http.StatusUnauthorized, Detail: "the token is not that of an operator"})
	return false
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !e.requireOperator(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Status())
}

// Status returns the current status.
func (e *Entry) Status() Status {
	now := clock()
	ready := e.Ready()
	row, p := e.configCache.Row(), e.configCache.Plan()
	s := Status{
		Entry:         e.cfg.Name,
		Ready:         ready,
		ConfigVersion: row.Version,
		ConfigAuthor:  row.Author,
		ConfigTime:    row.Time,
	}
	if p != nil {
		s.PlanVersion, s.Missing, s.Homes = p.Version, p.Missing, p.HomeCounts()
	}
	for _, addr := range e.liveEntries() {
		s.Entries = append(s.Entries, addr.String())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Queued, s.Fragmentation = e.sched.Queued(), e.sched.Fragmentation()
	for _, x := range e.sched.Workers() {
		versions := e.versions[x.Name]
		s.Workers = append(s.Workers, WorkerStatus{
			Name:          x.Name,
			Zone:          x.Zone,
			Rack:          x.Rack,
			Usable:        e.sched.Usable(x, now),
			Ejected:       x.Ejected(),
			Draining:      x.Draining(),
			Capacity:      x.Capacity,
			Free:          x.Free(),
			ConfigVersion: versions.config,
			PlanVersion:   versions.plan,
		})
	}
	return s
}

func (e *Entry) serveExplanation(w http.ResponseWriter, r *http.Request) {
	if !e.requireOperator(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	req := e.requests[r.PathValue("id")]
	if req == nil {
		writeNotFound(w)
		return
	}
	x := Explanation{Request: req.id, Customer: req.customer, Service: req.service.Name, Steps: req.history}
	if req.result != nil {
		x.Outcome = req.result.Outcome
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(x)
}

// serveDrain asks the agent of a worker to drain it.
func (e *Entry) serveDrain(w http.ResponseWriter, r *http.Request) {
	if !e.requireOperator(w, r) {
		return
	}
	name := r.PathValue("name")
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	if _, err := e.pool.Call(ctx, name, &wire.DrainWorker{Worker: name}); err != nil {
		writeProblem(w, problem{Status: http.StatusNotFound, Detail: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
