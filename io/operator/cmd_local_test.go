package operator

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// startTestLocal starts the local system and stops it with the test.
func startTestLocal(t *testing.T) *local {
	t.Helper()
	l, err := startLocal(netip.MustParseAddrPort("127.0.0.1:0"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.kill)
	return l
}

func (l *local) post(service, key, body string) reply {
	return send(l.entry.web.addr, localToken, service, key, body)
}

func (l *local) executions() int {
	n := 0
	for _, u := range l.upstreams {
		n += len(u.standin.Executions())
	}
	return n
}

func TestLocalServes(t *testing.T) {
	l := startTestLocal(t)
	for name, c := range map[string]struct {
		service string
		key     string
		status  int
		outcome string
		started int // executions at the upstreams
	}{
		"single task":               {service: "podcheck", key: "a", status: http.StatusOK, outcome: "ran", started: 1},
		"gang":                      {service: "berthplan", status: http.StatusOK, outcome: "ran", started: 2},
		"key missing":               {service: "podcheck", status: http.StatusBadRequest, outcome: "not-run"},
		"service that is not there": {service: "nothing", status: http.StatusNotFound, outcome: "not-run"},
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

func TestLocalSameKeyRunsOnce(t *testing.T) {
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
