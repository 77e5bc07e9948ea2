package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

const maxBodySize = 32 << 20 // bytes

// Paths of the stand-in's HTTP interface.
const (
	rowPath    = "/v1/row"
	scanPath   = "/v1/scan"
	commitPath = "/v1/commit"
	objectPath = "/v1/object"
	faultsPath = "/v1/faults"
)

type commitReply struct {
	Revision uint64 `json:"revision"`
}

// Handler serves the stand-in over HTTP. PUT /v1/faults replaces its faults.
func (s *Standin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rowPath, s.serveRow)
	mux.HandleFunc("GET "+scanPath, s.serveScan)
	mux.HandleFunc("POST "+commitPath, s.serveCommit)
	mux.HandleFunc("PUT "+objectPath, s.servePutObject)
	mux.HandleFunc("GET "+objectPath, s.serveGetObject)
	mux.HandleFunc("PUT "+faultsPath, s.serveFaults)
	return http.MaxBytesHandler(mux, maxBodySize)
}

func (s *Standin) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.get(r.Context(), r.FormValue("key"))
	writeReply(w, row, err)
}

func (s *Standin) serveScan(w http.ResponseWriter, r *http.Request) {
	rows, err := s.scan(r.Context(), r.FormValue("prefix"))
	writeReply(w, rows, err)
}

func (s *Standin) serveCommit(w http.ResponseWriter, r *http.Request) {
	var t Txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, err := s.commit(r.Context(), t)
	writeReply(w, commitReply{Revision: revision}, err)
}

func (s *Standin) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeReply(w, struct{}{}, s.putObject(r.Context(), r.FormValue("key"), data))
}

func (s *Standin) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.getObject(r.Context(), r.FormValue("key"))
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (s *Standin) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeReply(w, f, nil)
}

// writeReply writes v, or err as the status that decodeStatus maps back to it. For
// a lost reply it closes the connection without writing one.
func writeReply(w http.ResponseWriter, v any, err error) {
	var conflict *ConflictError
	var unavailable *UnavailableError
	var missing *NotFoundError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, conflict.Rows)
	case errors.As(err, &missing):
		writeJSON(w, http.StatusNotFound, missing.Key)
	case errors.As(err, &unavailable) && unavailable.MaybeApplied:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusServiceUnavailable, err.Error())
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
