package operator

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"bramleythread/io/wire"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// startTestLocal starts the local system and stops it when the test ends.
func startTestLocal(t *testing.T) *localSystem {
	t.Helper()
	l, err := startLocal(netip.MustParseAddrPort("127.0.0.1:0"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.kill)
	return l
}

func (l *localSystem) post(service, key, body string) reply {
	return send(l.entry.web.addr, localToken, service, key, body)
}

func (l *localSystem) executions() int {
	n := 0
	for _, u := range l.upstreams {
		n += len(u.standin.Executions())
	}
	return n
}

func TestLocalSystemServesRequests(t *testing.T) {
	l := startTestLocal(t)
	for name, c := range map[string]struct {
		service string
		key     string
		status  int
		outcome string
		started int // executions at the upstreams
	}{
		"single task":     {service: "podcheck", key: "a", status: http.StatusOK, outcome: "ran", started: 1},
		"gang":            {service: "berthplan", status: http.StatusOK, outcome: "ran", started: 2},
		"key missing":     {service: "podcheck", status: http.StatusBadRequest, outcome: "not-run"},
		"unknown service": {service: "nothing", status: http.StatusNotFound, outcome: "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := l.executions()
			r := l.post(c.service, c.key, `{}`)
			is.Equal(r.status, c.status)
			is.Equal(r.outcome, c.outcome)
			is.Equal(l.executions()-before, c.started)
		})
	}
}

func TestLocalSystemRunsSameKeyOnce(t *testing.T) {
	is := is.New(t)
	l := startTestLocal(t)
	first := l.post("podcheck", "k", `{"pod":1}`)
	second := l.post("podcheck", "k", `{"pod":1}`)
	is.Equal(first.body, second.body)
	is.Equal(l.executions(), 1)
	other := l.post("podcheck", "k", `{"pod":2}`)
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.Equal(l.executions(), 1)
}

func TestLocalSystemCompletesJob(t *testing.T) {
	is := is.New(t)
	l := startTestLocal(t)
	state, err := l.runSampleJob()
	is.NoErr(err)
	is.Equal(state, wire.JobCompleted)
}

func TestJobAPIStatuses(t *testing.T) {
	l := startTestLocal(t)
	base := "http://" + l.entry.web.addr.String()
	tests := map[string]struct {
		method, path, token, body string
		status                    int
	}{
		"accepted":             {"POST", localJobPath + "a", localToken, sampleJob, http.StatusAccepted},
		"no token":             {"POST", localJobPath + "b", "", sampleJob, http.StatusUnauthorized},
		"unknown queue":        {"POST", "/v1/queues/none/jobs/b", localToken, sampleJob, http.StatusNotFound},
		"unknown field":        {"POST", localJobPath + "b", localToken, `{"step":[]}`, http.StatusBadRequest},
		"malformed":            {"POST", localJobPath + "b", localToken, `{"steps":[`, http.StatusBadRequest},
		"wrong type":           {"POST", localJobPath + "b", localToken, `{"steps":"all"}`, http.StatusBadRequest},
		"no steps":             {"POST", localJobPath + "b", localToken, `{}`, http.StatusBadRequest},
		"circular steps":       {"POST", localJobPath + "b", localToken, `{"steps":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		"reserved id suffix":   {"POST", localJobPath + "b.cancel", localToken, sampleJob, http.StatusBadRequest},
		"state of unknown job": {"GET", localJobPath + "none", localToken, "", http.StatusNotFound},
		"cancel unknown job":   {"DELETE", localJobPath + "none", localToken, "", http.StatusNotFound},
		"cancel reserved id":   {"DELETE", localJobPath + "b.cancel", localToken, "", http.StatusNotFound},
		"queue length":         {"GET", localJobPath, localToken, "", http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := http.NewRequest(tt.method, base+tt.path, strings.NewReader(tt.body))
			is.NoErr(err)
			r.Header.Set("Authorization", "Bearer "+tt.token)
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			is.Equal(resp.StatusCode, tt.status)
		})
	}
	rows, err := l.platform.Store().Scan(context.Background(), "job/")
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	slices.Sort(keys)
	// The accepted job, and the cancellation that keeps a job from being stored.
	if want := []string{"job/a", "job/none.cancel"}; !slices.Equal(keys, want) {
		t.Fatalf("stored are %v, want %v", keys, want)
	}
}
