package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Handler serves the task protocol, and lists the executions at
// GET /v1/executions.
func (s *Standin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tasksPath+"{id}", s.serveRun)
	mux.HandleFunc("PUT "+tasksPath+"{id}", s.serveLoad)
	mux.HandleFunc("POST "+tasksPath+"{id}/release", s.serveRelease)
	mux.HandleFunc("PUT "+tasksPath+"{id}/lease", s.serveLease)
	mux.HandleFunc("POST "+tasksPath+"{id}/checkpoint", s.serveEnd(resultCheckpointed))
	mux.HandleFunc("DELETE "+tasksPath+"{id}", s.serveEnd(resultStopped))
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Executions())
	})
	return http.MaxBytesHandler(mux, maxTaskBody)
}

func (s *Standin) serveRun(w http.ResponseWriter, r *http.Request) {
	t, err := readTask(r)
	if err != nil {
		notStarted(w, http.StatusBadRequest)
		return
	}
	if !s.load(t) {
		notStarted(w, http.StatusConflict)
		return
	}
	s.execute(w, t.ID)
}

func (s *Standin) serveLoad(w http.ResponseWriter, r *http.Request) {
	t, err := readTask(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.load(t) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Standin) serveRelease(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !s.renew(id, r.Header.Get(headerLease)) {
		notStarted(w, http.StatusNotFound)
		return
	}
	s.execute(w, id)
}

func (s *Standin) serveLease(w http.ResponseWriter, r *http.Request) {
	if !s.renew(r.PathValue("id"), r.Header.Get(headerLease)) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Standin) serveEnd(result string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.end(r.PathValue("id"), result)
		w.WriteHeader(http.StatusNoContent)
	}
}

func notStarted(w http.ResponseWriter, status int) {
	w.Header().Set(headerState, stateNotStarted)
	w.WriteHeader(status)
}

func readTask(r *http.Request) (Task, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return Task{}, err
	}
	h := r.Header
	lease, err := time.ParseDuration(h.Get(headerLease))
	if err != nil {
		return Task{}, err
	}
	rank, err := strconv.Atoi(h.Get(headerRank))
	if err != nil {
		return Task{}, err
	}
	size, err := strconv.Atoi(h.Get(headerSize))
	if err != nil {
		return Task{}, err
	}
	return Task{
		ID:         r.PathValue("id"),
		Customer:   h.Get(headerCustomer),
		Service:    h.Get(headerService),
		Key:        h.Get(headerKey),
		Checkpoint: h.Get(headerCheckpoint),
		Rank:       rank,
		Size:       size,
		Lease:      lease,
		Body:       body,
	}, nil
}

// execute runs a loaded task until it ends and writes the response.
func (s *Standin) execute(w http.ResponseWriter, id string) {
	x, index, fail, runFor := s.begin(id)
	if x == nil {
		notStarted(w, http.StatusNotFound)
		return
	}
	s.notify(EventStarted, x.task)
	result := s.wait(x, runFor)
	s.finish(id, index, result)
	s.notify(EventEnded, x.task)
	switch {
	case result == resultCheckpointed:
		w.Header().Set(headerState, stateCheckpointed)
		w.Header().Set(headerCheckpoint, "checkpoint/"+id)
		w.WriteHeader(http.StatusConflict)
	case result != resultAnswered:
		w.Header().Set(headerState, stateStopped)
		w.WriteHeader(http.StatusConflict)
	case fail:
		http.Error(w, "task failed", http.StatusInternalServerError)
	default:
		writeAnswer(w, x.task)
	}
}

func writeAnswer(w http.ResponseWriter, t Task) {
	var options taskOptions
	_ = json.Unmarshal(t.Body, &options)
	digest := sha256.Sum256(t.Body)
	body, _ := json.Marshal(standinAnswer{
		Task:     t.ID,
		Customer: t.Customer,
		Service:  t.Service,
		Rank:     t.Rank,
		Size:     t.Size,
		Received: hex.EncodeToString(digest[:]),
		Pad:      string(make([]byte, max(options.Pad, 0))),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
