package operator

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"
)

// reply is the response that a caller received.
type reply struct {
	status  int
	outcome string
	request string
	body    string
	err     error // set if no complete response arrived
}

// callTimeout limits how long a test caller waits.
const callTimeout = 60 * time.Second

// testClient opens a connection for each call, as callers behind a load balancer
// do.
var testClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// send posts a request to a service and reads the response.
func send(addr netip.AddrPort, token, service, key, body string) reply {
	return call(http.MethodPost, addr, token, "/v1/services/"+service+"/requests", key, body)
}

// call makes an HTTP request. prefer is the value of its Prefer header.
func call(method string, addr netip.AddrPort, token, path, key, body string, prefer ...string) reply {
	r, err := http.NewRequest(method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	for _, p := range prefer {
		r.Header.Set("Prefer", p)
	}
	resp, err := testClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return reply{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Bramleythread-Outcome"),
		request: resp.Header.Get("Bramleythread-Request"),
		body:    string(answer),
		err:     err,
	}
}

func sum256(b []byte) []byte {
	s := sha256.Sum256(b)
	return s[:]
}

// submit posts a request without waiting for its outcome and returns its id.
func (f *fleet) submit(entry int, customer, service, key, body string) string {
	f.t.Helper()
	r := call(http.MethodPost, f.entries[entry].http, customer, "/v1/services/"+service+"/requests", key, body, "respond-async")
	if r.err != nil {
		f.t.Fatal(r.err)
	}
	return r.request
}

// result waits for the outcome of a request.
func (f *fleet) result(entry int, customer, request string) reply {
	f.t.Helper()
	var r reply
	f.waitFor("outcome of "+request, callTimeout, func() bool {
		r = call(http.MethodGet, f.entries[entry].http, customer, "/v1/requests/"+request, "", "")
		return r.err == nil && r.status != http.StatusAccepted
	})
	return r
}

// connectionRefused reports whether the server refused the connection.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
