package caller

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/schedule"
	"bramleythread/io/limits"
	"bramleythread/io/wire"
)

// HTTP headers of the callers' API.
const (
	headerRequest = "Bramleythread-Request"
	headerOutcome = "Bramleythread-Outcome"
	headerKey     = "Idempotency-Key"
	headerTimeout = "Request-Timeout" // seconds
	headerPrefer  = "Prefer"          // RFC 7240
	preferAsync   = "respond-async"
)

const (
	maxKeyLength      = 255                    // bytes of an idempotency key or job id
	replyMargin       = 700 * time.Millisecond // added to the deadline to wait for an outcome
	defaultRetryAfter = 1                      // seconds
	writeTimeout      = 30 * time.Second       // for a caller to read its response
)

// Register adds the callers' and the operators' paths to mux.
func (e *Entry) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/{service}/requests", e.servePost)
	mux.HandleFunc("GET /v1/requests/{id}", e.serveGet)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.serveDelete)
	mux.HandleFunc("GET /v1/status", e.serveStatus)
	mux.HandleFunc("GET /v1/requests/{id}/explanation", e.serveExplanation)
	mux.HandleFunc("POST /v1/workers/{name}/drain", e.serveDrain)
}

// problem is a problem document of RFC 9457.
type problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail,omitempty"`
	Request string       `json:"request,omitempty"`
	Outcome wire.Outcome `json:"outcome,omitempty"`
	Reason  wire.Reason  `json:"reason,omitempty"`

	retryAfter int // seconds; 0 means defaultRetryAfter
}

func writeProblem(w http.ResponseWriter, p problem) {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.Outcome != "" {
		h.Set(headerOutcome, string(p.Outcome))
	}
	if p.Request != "" {
		h.Set(headerRequest, p.Request)
	}
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.Itoa(cmp.Or(p.retryAfter, defaultRetryAfter)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// writeRefusal responds to a request that was not accepted.
func writeRefusal(w http.ResponseWriter, status int, detail string) {
	writeProblem(w, problem{Status: status, Detail: detail, Outcome: wire.OutcomeNotRun})
}

// authenticate returns the configuration and the customer of a request. If there
// is none it writes an error response and returns nil.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) (*config.Config, *config.Customer) {
	cfg, _ := e.configCache.Config()
	if cfg == nil {
		writeRefusal(w, http.StatusServiceUnavailable, "no configuration is known yet")
		return nil, nil
	}
	customer := cfg.Authenticate(tokenDigest(r))
	if customer == nil {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeRefusal(w, http.StatusUnauthorized, "the token is not that of a customer")
		return nil, nil
	}
	return cfg, customer
}

func tokenDigest(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// servePost accepts a request and responds when it has ended, or at once if the
// caller prefers that.
func (e *Entry) servePost(w http.ResponseWriter, r *http.Request) {
	cfg, customer := e.authenticate(w, r)
	if customer == nil {
		return
	}
	if e.configCache.Behind() || e.configCache.Plan() == nil {
		writeRefusal(w, http.StatusServiceUnavailable, "this entry waits for a newer configuration")
		return
	}
	req, err := readRequest(w, r, cfg, customer)
	if err != nil {
		var reqErr *requestError
		errors.As(err, &reqErr)
		writeRefusal(w, reqErr.status, reqErr.detail)
		return
	}
	known, refusal := e.accept(req)
	if refusal != schedule.Accepted || known != req {
		req.release()
	}
	if refusal != schedule.Accepted {
		writeRefusal(w, refusalStatus(refusal), string(refusal))
		return
	}
	if known.digest != req.digest {
		writeProblem(w, problem{Status: http.StatusUnprocessableEntity, Outcome: wire.OutcomeNotRun, Reason: wire.ReasonKeyReused})
		return
	}
	if strings.Contains(r.Header.Get(headerPrefer), preferAsync) {
		writeAccepted(w, known.id)
		return
	}
	e.awaitResult(r.Context(), w, known)
}

// requestError is an error in a request that is not queued.
type requestError struct {
	status int
	detail string
}

// Error returns the detail.
func (e *requestError) Error() string { return e.detail }

// readRequest validates a request and reads its body. The error is a
// *requestError.
func readRequest(w http.ResponseWriter, r *http.Request, cfg *config.Config, customer *config.Customer) (*request, error) {
	service := cfg.Service(r.PathValue("service"))
	if service == nil || service.Disabled {
		return nil, &requestError{http.StatusNotFound, "no such service"}
	}
	key := r.Header.Get(headerKey)
	switch {
	case len(key) > maxKeyLength:
		return nil, &requestError{http.StatusBadRequest, headerKey + " is too long"}
	case key == "" && !service.Repeatable:
		return nil, &requestError{http.StatusBadRequest, headerKey + " is required for this service"}
	}
	timeout, err := readTimeout(r, cfg, service)
	if err != nil {
		return nil, err
	}
	arrived := clock()
	body, err := limits.ReadBody(w, r, cfg.Limits.RequestBody)
	if err != nil {
		return nil, &requestError{cmp.Or(limits.Status(w, err), http.StatusBadRequest), err.Error()}
	}
	return &request{
		customer:    customer.Name,
		service:     *service,
		key:         key,
		digest:      sha256.Sum256(body),
		body:        body,
		contentType: r.Header.Get("Content-Type"),
		arrived:     arrived,
		deadline:    arrived.Add(timeout),
		done:        make(chan struct{}),
		release:     limits.Retain(r),
	}, nil
}

func readTimeout(r *http.Request, cfg *config.Config, service *config.Service) (time.Duration, error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return service.Timeout, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	limit := cfg.Limits.MaxTimeout
	if err != nil || !(seconds > 0) || seconds > limit.Seconds() {
		return 0, &requestError{http.StatusBadRequest, headerTimeout + " is not a number of seconds up to " + limit.String()}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func refusalStatus(refusal schedule.Refusal) int {
	switch refusal {
	case schedule.CustomerQueueFull:
		return http.StatusTooManyRequests
	case schedule.UnknownService:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

func writeAccepted(w http.ResponseWriter, id string) {
	w.Header().Set(headerRequest, id)
	w.Header().Set("Location", "/v1/requests/"+id)
	w.WriteHeader(http.StatusAccepted)
}

// awaitResult responds when the request has ended, or replyMargin after its
// deadline. The request continues if the caller disconnects.
func (e *Entry) awaitResult(ctx context.Context, w http.ResponseWriter, r *request) {
	t := time.NewTimer(time.Until(r.deadline) + replyMargin)
	defer t.Stop()
	select {
	case <-r.done:
		writeResult(w, r.id, r.result)
	case <-ctx.Done():
	case <-t.C:
		writeProblem(w, problem{
			Status:  http.StatusGatewayTimeout,
			Detail:  "no outcome is known at the deadline; ask for the request again",
			Request: r.id,
			Outcome: wire.OutcomeUnknown,
			Reason:  wire.ReasonExpired,
		})
	}
}

// writeResult writes the upstream's answer if the request ran, and a problem
// document otherwise.
func writeResult(w http.ResponseWriter, id string, result *wire.Result) {
	if result.Outcome != wire.OutcomeRan {
		writeProblem(w, problem{
			Status:  outcomeStatus(result),
			Request: id,
			Outcome: result.Outcome,
			Reason:  result.Reason,
		})
		return
	}
	h := w.Header()
	h.Set(headerRequest, id)
	h.Set(headerOutcome, string(result.Outcome))
	if result.ContentType != "" {
		h.Set("Content-Type", result.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(result.Body)))
	setWriteTimeout(w, writeTimeout)
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}

// setWriteTimeout limits the time to write the response, so that a caller that
// does not read it cannot block the handler.
func setWriteTimeout(w http.ResponseWriter, limit time.Duration) {
	// Only the response writers of tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
}

func outcomeStatus(result *wire.Result) int {
	switch {
	case result.Outcome == wire.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case result.Reason == wire.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case result.Reason == wire.ReasonCancelled:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// LimitBody wraps h with the body size limit that applies before the customer is
// known. It also clears the write deadline that an earlier response has left on
// the connection.
func LimitBody(h http.Handler) http.Handler {
	return http.MaxBytesHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		h.ServeHTTP(w, r)
	}), maxRequestBody)
}

const maxRequestBody = 16 << 20 // bytes
