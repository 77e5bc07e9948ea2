package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strings"
	"time"
	"unsafe"

	"bramleythread/core/config"
	"bramleythread/core/job"
	"bramleythread/io/limits"
	"bramleythread/io/wire"
)

// Path elements of the native HTTP API for durable jobs.
const (
	queuesPath = "/v1/queues/"
	jobsPath   = "/jobs/"
)

// jobRequest is the JSON body of a job submission in the native API.
type jobRequest struct {
	Spec       string        `json:"spec"`
	FirstRun   time.Time     `json:"first_run"`
	IntervalMs int64         `json:"interval_ms"`
	Repeat     int           `json:"repeat"`
	Steps      []stepRequest `json:"steps"`
}

type stepRequest struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu_millicores"`
	Memory       int    `json:"memory_mib"`
	Accelerators int    `json:"accelerators"`
	EstimateMs   int64  `json:"estimate_ms"`
	After        []int  `json:"after"`
	Checkpoints  bool   `json:"checkpoints"`
	Gang         bool   `json:"gang"`
	SameRack     bool   `json:"same_rack"`
	Label        string `json:"label"`
	DataRack     string `json:"data_rack"`
	Spread       int    `json:"spread"`
}

// JobAPI serves the native HTTP API for durable jobs.
type JobAPI struct {
	Admission *AdmissionController
	Jobs      *Jobs
}

// CatalogFromConfig returns the queues, customers and guaranteed accelerators of a
// configuration. Each service becomes a queue.
func CatalogFromConfig(cfg *config.Config) *job.Catalog {
	c := &job.Catalog{
		Customers:  make(map[string]string),
		Guaranteed: make(map[string]int),
		BodyLimit:  cfg.Limits.RequestBody,
	}
	for _, s := range cfg.Services {
		if s.Disabled {
			continue
		}
		c.Services = append(c.Services, s.Name)
		c.Queues = append(c.Queues, job.Queue{
			Name: s.Name, Prefix: queuesPath + s.Name + jobsPath, Service: s.Name, Stretch: 1,
			Priority: map[config.Priority]int{config.Urgent: 0, config.Normal: 1, config.Batch: 2}[s.Priority],
			Attempts: max(cfg.Limits.Attempts, 1), Objective: s.Timeout,
		})
	}
	for _, x := range cfg.Customers {
		if x.Disabled {
			continue
		}
		for _, digest := range x.TokenDigests {
			c.Customers[digest] = x.Name
		}
	}
	for _, g := range cfg.Guarantees {
		if shape := cfg.Shape(g.Shape); shape != nil && !g.Disabled {
			c.Guaranteed[g.Customer] += g.Count * shape.Workers * shape.Demand.Accelerators
		}
	}
	return c
}

// Register adds the API's paths to mux.
func (a *JobAPI) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+queuesPath+"{queue}"+jobsPath+"{id}", a.serve(a.submit))
	mux.HandleFunc("GET "+queuesPath+"{queue}"+jobsPath+"{id}", a.serve(a.state))
	mux.HandleFunc("DELETE "+queuesPath+"{queue}"+jobsPath+"{id}", a.serve(a.cancel))
	mux.HandleFunc("GET "+queuesPath+"{queue}"+jobsPath, a.serve(a.pending))
}

// serve returns a handler that admits a request and passes it to f. An error is
// written as a problem document.
func (a *JobAPI) serve(f func(w http.ResponseWriter, r *http.Request, in Admission) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		in, err := a.Admission.Admit(r.Host, r.URL.Path, token)
		if err == nil {
			err = f(w, r, in)
		}
		if err != nil {
			writeJobError(w, err)
		}
	}
}

func (a *JobAPI) submit(w http.ResponseWriter, r *http.Request, in Admission) error {
	if !validID(in.JobID) {
		return &job.InvalidError{Field: "id", Reason: "must be up to 255 letters, digits, - or _"}
	}
	body, err := limits.ReadDocument(w, r, limits.Document{MaxSize: in.BodyLimit, ItemSize: int(unsafe.Sizeof(stepRequest{}))})
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var req jobRequest
	if err := d.Decode(&req); err != nil {
		return &job.InvalidError{Field: "body", Reason: err.Error()}
	}
	j := req.job(in)
	if err := job.Validate(&j); err != nil {
		return err
	}
	ctx, cancel := WithResponseTimeout(r.Context(), in.Queue.Objective)
	defer cancel()
	if err := a.Jobs.Submit(ctx, j); err != nil {
		return err
	}
	writeState(w, http.StatusAccepted, wire.JobQueued)
	return nil
}

// job converts a submission into a durable job.
func (req *jobRequest) job(in Admission) wire.Job {
	j := wire.Job{
		ID: in.JobID, Queue: in.Queue.Name, Customer: in.Customer, Service: in.Queue.Service, Spec: req.Spec,
		Priority: in.Queue.Priority, Attempts: in.Queue.Attempts, Stretch: in.Queue.Stretch, Objective: in.Queue.Objective, TicketValidity: in.Queue.Advice,
		Accepted: time.Now(), FirstRun: req.FirstRun, Interval: time.Duration(req.IntervalMs) * time.Millisecond, RepeatCount: req.Repeat,
	}
	for _, s := range req.Steps {
		j.Steps = append(j.Steps, wire.JobStep{
			Count: s.Count, Demand: wire.Resources{CPU: s.CPU, Memory: s.Memory, Accelerators: s.Accelerators},
			Estimate: time.Duration(s.EstimateMs) * time.Millisecond, After: s.After, Checkpoints: s.Checkpoints,
			Gang: s.Gang, SameRack: s.SameRack, RequiredLabel: s.Label, DataRack: s.DataRack, MaxPerWorker: s.Spread,
		})
	}
	return j
}

func (a *JobAPI) state(w http.ResponseWriter, r *http.Request, in Admission) error {
	ctx, cancel := WithResponseTimeout(r.Context(), in.Queue.Objective)
	defer cancel()
	state, ok, err := a.Jobs.State(ctx, in.Queue.Name, in.JobID)
	if err == nil && !ok {
		err = &UnknownQueueError{Path: r.URL.Path}
	}
	if err == nil {
		writeState(w, http.StatusOK, state)
	}
	return err
}

func (a *JobAPI) cancel(w http.ResponseWriter, r *http.Request, in Admission) error {
	if !validID(in.JobID) { // no job has such an id, and no row may be written for it
		return &UnknownQueueError{Path: r.URL.Path}
	}
	ctx, cancel := WithResponseTimeout(r.Context(), in.Queue.Objective)
	defer cancel()
	ok, err := a.Jobs.Cancel(ctx, in.Queue.Name, in.JobID)
	if err == nil && !ok {
		err = &UnknownQueueError{Path: r.URL.Path}
	}
	if err == nil {
		writeState(w, http.StatusOK, wire.JobCancelled)
	}
	return err
}

func (a *JobAPI) pending(w http.ResponseWriter, r *http.Request, in Admission) error {
	ctx, cancel := WithResponseTimeout(r.Context(), in.Queue.Objective)
	defer cancel()
	n, err := a.Jobs.Pending(ctx, in.Queue.Name)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(struct {
		Pending int `json:"pending"`
	}{n})
}

func writeState(w http.ResponseWriter, status int, state wire.JobState) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		State wire.JobState `json:"state"`
	}{state}) // the caller may have disconnected
}

// writeJobError writes an error as a problem document. The outcome is not-run
// unless it is unknown whether a change was made.
func writeJobError(w http.ResponseWriter, err error) {
	p := problem{Status: http.StatusInternalServerError, Detail: err.Error(), Outcome: wire.OutcomeUnknown}
	var stale *StaleConfigError
	var token *InvalidTokenError
	var queue *UnknownQueueError
	var invalid *job.InvalidError
	var refused *NotAcceptedError
	var unknown *UnknownOutcomeError
	limited := limits.Status(w, err)
	switch {
	case limited != 0:
		p.Status, p.Outcome = limited, wire.OutcomeNotRun
	case errors.As(err, &stale):
		p.Status, p.Outcome = http.StatusServiceUnavailable, wire.OutcomeNotRun
	case errors.As(err, &token):
		w.Header().Set("WWW-Authenticate", "Bearer")
		p.Status, p.Outcome = http.StatusUnauthorized, wire.OutcomeNotRun
	case errors.As(err, &queue):
		p.Status, p.Outcome = http.StatusNotFound, wire.OutcomeNotRun
	case errors.As(err, &invalid):
		p.Status, p.Outcome = http.StatusBadRequest, wire.OutcomeNotRun
	case errors.As(err, &refused):
		p.Status, p.Outcome = http.StatusServiceUnavailable, wire.OutcomeNotRun
		p.retryAfter = int(math.Ceil(refused.RetryAfter.Seconds()))
	case errors.As(err, &unknown):
		p.Status = http.StatusGatewayTimeout
	}
	writeProblem(w, p)
}

// validID reports whether an id may be used as part of a row's key.
func validID(id string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	return id != "" && len(id) <= maxKeyLength && strings.Trim(id, letters) == ""
}
