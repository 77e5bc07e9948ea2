package limits

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	firstStep  = 4 << 10 // bytes of a body that are acquired first
	retryAfter = time.Second
)

// OverloadError means that the budget for bodies is used up. Nothing was done.
type OverloadError struct{ RetryAfter time.Duration }

// Error returns the message sent to the client.
func (e *OverloadError) Error() string { return "too much data of other requests is in memory" }

// StalledError means that a body did not arrive in time.
type StalledError struct{}

// Error returns the message sent to the client.
func (e *StalledError) Error() string { return "the body did not arrive in time" }

// IncompleteError means that a body could not be read whole.
type IncompleteError struct{ Cause error }

// Error returns the message sent to the client.
func (e *IncompleteError) Error() string { return "the body was not read whole: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// Status returns the HTTP status for an error of this package, and sets Retry-After
// where it belongs to the status. It returns 0 for another error. Each of these
// statuses means that nothing was done.
func Status(w http.ResponseWriter, err error) int {
	var overload *OverloadError
	var stalled *StalledError
	var incomplete *IncompleteError
	var elements *ElementsError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &overload):
		w.Header().Set("Retry-After", strconv.Itoa(int(overload.RetryAfter.Seconds())))
		return http.StatusServiceUnavailable
	case errors.As(err, &stalled):
		return http.StatusRequestTimeout
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &elements), errors.As(err, &incomplete):
		return http.StatusBadRequest
	}
	return 0
}

// Document limits the JSON document in a body.
type Document struct {
	MaxSize     int64
	MaxElements int // 0 means MaxElements of the package
	ItemSize    int // bytes that a decoder allocates for an element of an array, at most
}

// growthFactor multiplies the size of a decoded slice: the old and the new array of a
// slice that is being extended are in memory together.
const growthFactor = 3

// ReadBody reads the body of a request, which is at most maxSize bytes long. The bytes
// are acquired from the budget before they are buffered. They are released when the
// handler returns.
func ReadBody(w http.ResponseWriter, r *http.Request, maxSize int64) ([]byte, error) {
	return readBody(w, r, maxSize, nil)
}

// ReadDocument reads a body that holds a JSON document. It counts the elements as they
// arrive, and acquires from the budget what a decoder will allocate for them.
func ReadDocument(w http.ResponseWriter, r *http.Request, d Document) ([]byte, error) {
	s := &scanner{maxElements: d.MaxElements}
	if s.maxElements == 0 {
		s.maxElements = MaxElements
	}
	body, err := readBody(w, r, d.MaxSize, s)
	if err != nil {
		return nil, err
	}
	if c := connOf(r); c != nil && c.body != nil && !c.body.grow(int64(len(body)+growthFactor*s.items*d.ItemSize)) {
		c.listener.limiter.Refused("body_budget")
		return nil, &OverloadError{RetryAfter: retryAfter}
	}
	return body, nil
}

// Buffered returns a handler that reads bodies of up to maxSize bytes before it calls
// h, for handlers that do not call ReadBody.
func Buffered(h http.Handler, maxSize int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, maxSize)
		if err != nil {
			http.Error(w, err.Error(), Status(w, err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

// Retain keeps the bytes of a request's body acquired after its handler has returned,
// until the returned function is called. In a process whose settings name no memory they
// are released with the request, since its queue bounds them and may be longer than a
// default budget allows.
func Retain(r *http.Request) (release func()) {
	c := connOf(r)
	if c == nil || !c.listener.limiter.retains {
		return func() {}
	}
	c.mu.Lock()
	body := c.body
	c.body = nil
	c.mu.Unlock()
	if body == nil {
		return func() {}
	}
	return body.close
}

func readBody(w http.ResponseWriter, r *http.Request, maxSize int64, s *scanner) ([]byte, error) {
	c := connOf(r)
	b := &bodyReader{r: r.Body, size: r.ContentLength, max: maxSize, scanner: s, conn: c}
	body, err := b.readAll()
	if err != nil {
		if c != nil {
			c.endRequest()
			c.listener.limiter.Refused(refusalCause(err))
		}
		return nil, err
	}
	if c != nil {
		c.unread = false
		w.Header().Del("Connection")
		c.setPhase(phaseServing)
	}
	return body, nil
}

func refusalCause(err error) string {
	var overload *OverloadError
	var stalled *StalledError
	var elements *ElementsError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &overload):
		return "body_budget"
	case errors.As(err, &stalled):
		return "body_timeout"
	case errors.As(err, &elements):
		return "body_elements"
	case errors.As(err, &tooLarge):
		return "body_size"
	default:
		return "body_incomplete"
	}
}

// block is a part of a body that is arriving. Blocks are reused, so that bodies that are
// never completed leave no garbage.
type block [8 << 10]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// bodyReader reads a body into blocks that are added as bytes arrive, not by the length
// that the client declares.
type bodyReader struct {
	r       io.Reader
	size    int64 // declared; -1 if unknown
	max     int64
	scanner *scanner // nil if the body is no document
	conn    *conn    // nil if no Limiter serves the request
	lease   *lease
	first   []byte // the first part
	rest    []*block
	length  int64
}

func (b *bodyReader) readAll() ([]byte, error) {
	if b.size > b.max {
		return nil, &http.MaxBytesError{Limit: b.max}
	}
	if b.size == 0 {
		return nil, nil
	}
	if b.conn != nil {
		b.conn.setPhase(phaseBody)
		b.lease = b.conn.openBody()
	}
	defer b.freeBlocks()
	n := int64(firstStep)
	if b.size > 0 {
		n = min(n, b.size+1) // reads the end together with the last bytes
	}
	if !b.grow(n) {
		return nil, &OverloadError{RetryAfter: retryAfter}
	}
	b.first = make([]byte, n)
	part := b.first
	for first := true; ; first = false {
		if !first && !b.await() { // most bodies arrive at once
			return nil, &OverloadError{RetryAfter: retryAfter}
		}
		m, err := b.r.Read(part)
		if b.length += int64(m); b.length > b.max {
			return nil, &http.MaxBytesError{Limit: b.max}
		}
		if b.scanner != nil {
			if err := b.scanner.scan(part[:m]); err != nil {
				return nil, err
			}
		}
		if err != nil {
			return b.end(err)
		}
		if part = part[m:]; len(part) > 0 {
			continue
		}
		if !b.grow(int64(len(block{}))) {
			return nil, &OverloadError{RetryAfter: retryAfter}
		}
		k := blocks.Get().(*block)
		b.rest = append(b.rest, k)
		part = k[:]
	}
}

// grow acquires n bytes. It reports whether it succeeded.
func (b *bodyReader) grow(n int64) bool { return b.lease == nil || b.lease.grow(n) }

// freeBlocks returns the blocks. What they have acquired stays acquired.
func (b *bodyReader) freeBlocks() {
	for _, k := range b.rest {
		blocks.Put(k)
	}
	b.rest = nil
}

// end returns the body after the last read, which has returned err.
func (b *bodyReader) end(err error) ([]byte, error) {
	if b.lease != nil && !b.lease.complete() {
		return nil, &OverloadError{RetryAfter: retryAfter}
	}
	switch {
	case errors.Is(err, io.EOF):
		return b.join()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &StalledError{}
	default:
		return nil, &IncompleteError{Cause: err}
	}
}

// join returns the parts of the body as one slice.
func (b *bodyReader) join() ([]byte, error) {
	if len(b.rest) == 0 {
		return b.first[:b.length], nil
	}
	if !b.grow(b.length) {
		return nil, &OverloadError{RetryAfter: retryAfter}
	}
	body := append(make([]byte, 0, b.length), b.first...)
	for _, k := range b.rest {
		body = append(body, k[:min(int64(len(k)), b.length-int64(len(body)))]...)
	}
	if b.lease != nil {
		b.lease.shrink(int64(len(b.first) + len(b.rest)*len(block{})))
	}
	return body, nil
}

// await prepares the next read of a body that has not arrived at once. From then on the
// body may be refused in favor of others, and the client has stallTimeout for the read,
// within bodyTimeout. It reports false if the body has been refused.
func (b *bodyReader) await() bool {
	if b.conn == nil {
		return true
	}
	l := b.lease
	if l.interrupt == nil {
		l.await(b.conn.interruptRead)
	}
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if l.refused {
		return false
	}
	end := time.Now().Add(stallTimeout)
	if last := l.started.Add(bodyTimeout); last.Before(end) {
		end = last
	}
	_ = b.conn.SetReadDeadline(end) // a closed connection fails the read
	return true
}

// openBody opens the lease of the current request's body.
func (c *conn) openBody() *lease {
	l := c.listener.limiter.budget.open()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = l
	return l
}
