package operator

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// reply is what a caller got for a request.
type reply struct {
	status  int
	outcome string
	request string
	body    string
	err     error // no whole reply arrived
}

// callTimeout bounds a test caller's wait.
const callTimeout = 60 * time.Second

// testClient opens a connection for each call, as a balancer's callers do.
var testClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// send posts a request and reads the whole reply.
func send(addr netip.AddrPort, token, service, key, body string) reply {
	return call(http.MethodPost, addr, token, "/v1/services/"+service+"/requests", key, body)
}

func call(method string, addr netip.AddrPort, token, path, key, body string) reply {
	r, err := http.NewRequest(method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
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
