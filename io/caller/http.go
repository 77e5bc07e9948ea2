package caller

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/schedule"
	"bramleythread/io/wire"
)

// Headers of the callers' interface.
const (
	headerRequest = "Bramleythread-Request"
	headerOutcome = "Bramleythread-Outcome"
	headerKey     = "Idempotency-Key"
	headerTimeout = "Request-Timeout" // seconds
	headerPrefer  = "Prefer"          // RFC 7240
	preferAsync   = "respond-async"
)

const (
	maxKey      = 255                    // bytes of an idempotency key
	replyMargin = 700 * time.Millisecond // beyond the deadline, for an outcome
	retryAfter  = 1                      // seconds
	writeLimit  = 30 * time.Second       // for a caller to take its answer
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

	retry int // seconds; retryAfter if it is 0
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
		h.Set("Retry-After", strconv.Itoa(cmp.Or(p.retry, retryAfter)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// refuse answers a request that was not accepted.
func refuse(w http.ResponseWriter, status int, detail string) {
	writeProblem(w, problem{Status: status, Detail: detail, Outcome: wire.OutcomeNotRun})
}

// authenticate returns the customer of a request, or answers 401 and returns
// nil.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) (*config.Config, *config.Customer) {
	cfg, _ := e.keeper.Config()
	if cfg == nil {
		refuse(w, http.StatusServiceUnavailable, "no configuration is known yet")
		return nil, nil
	}
	customer := cfg.Authenticate(tokenDigest(r))
	if customer == nil {
		w.Header().Set("WWW-Authenticate", "Bearer")
		refuse(w, http.StatusUnauthorized, "the token is not that of a customer")
		return nil, nil
	}
	return cfg, customer
}

func tokenDigest(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// servePost takes in a request, and answers it when it has ended.
func (e *Entry) servePost(w http.ResponseWriter, r *http.Request) {
	cfg, customer := e.authenticate(w, r)
	if customer == nil {
		return
	}
	if e.keeper.Behind() || e.keeper.Plan() == nil {
		refuse(w, http.StatusServiceUnavailable, "this entry waits for a newer configuration")
		return
	}
	req, err := readRequest(w, r, cfg, customer)
	if err != nil {
		var bad *requestError
		errors.As(err, &bad)
		refuse(w, bad.status, bad.detail)
		return
	}
	known, refusal := e.accept(req)
	if refusal != schedule.Accepted {
		refuse(w, refusalStatus(refusal), string(refusal))
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

// requestError is a request that is refused before it is queued.
type requestError struct {
	status int
	detail string
}

// Error returns the detail.
func (e *requestError) Error() string { return e.detail }

// readRequest checks a request and reads its body. The error is a
// *requestError.
func readRequest(w http.ResponseWriter, r *http.Request, cfg *config.Config, customer *config.Customer) (*request, error) {
	service := cfg.Service(r.PathValue("service"))
	if service == nil || service.Disabled {
		return nil, &requestError{http.StatusNotFound, "no such service"}
	}
	key := r.Header.Get(headerKey)
	switch {
	case len(key) > maxKey:
		return nil, &requestError{http.StatusBadRequest, headerKey + " is too long"}
	case key == "" && !service.Repeatable:
		return nil, &requestError{http.StatusBadRequest, headerKey + " is required for this service"}
	}
	timeout, err := readTimeout(r, cfg, service)
	if err != nil {
		return nil, err
	}
	arrived := clock()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, cfg.Limits.RequestBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &requestError{http.StatusRequestEntityTooLarge, "the body exceeds the limit"}
	}
	if err != nil {
		return nil, &requestError{http.StatusBadRequest, "the body was not read whole"}
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

// awaitResult answers when the request has ended, at the latest shortly after
// its deadline. A caller that goes away does not end it.
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

// writeResult answers with a result: the upstream's answer if the request ran,
// a problem document otherwise.
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
	limitWrite(w, writeLimit)
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}

// limitWrite ends the connection of a caller that does not take its answer
// within the limit.
func limitWrite(w http.ResponseWriter, limit time.Duration) {
	// A writer without deadlines is that of a test.
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

// LimitBody wraps h with the limit on bodies that holds before a customer is
// known. The write deadline of an earlier answer on the connection is lifted.
func LimitBody(h http.Handler) http.Handler {
	return http.MaxBytesHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		h.ServeHTTP(w, r)
	}), maxAnyBody)
}

const maxAnyBody = 16 << 20 // bytes
