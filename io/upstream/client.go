package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

const (
	dialTimeout    = time.Second
	controlTimeout = 2 * time.Second
)

// errAnswerTooLarge reports an answer longer than Client.maxAnswer.
var errAnswerTooLarge = errors.New("answer exceeds the limit")

// Client runs tasks on one upstream over HTTP.
type Client struct {
	base      string
	maxAnswer int64
	tasks     *http.Client // limited to the connections that the upstream accepts
	control   *http.Client // separate, so that renewals and stops do not queue behind tasks
}

// NewClient returns a client of the upstream at addr. connections limits the
// tasks in flight; maxAnswer limits the size of an answer in bytes.
func NewClient(addr netip.AddrPort, connections int, maxAnswer int64) *Client {
	return &Client{
		base:      "http://" + addr.String(),
		maxAnswer: maxAnswer,
		tasks:     &http.Client{Transport: transport(connections)},
		control:   &http.Client{Transport: transport(0), Timeout: controlTimeout},
	}
}

func transport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: max(connections, 2),
		DisableCompression:  true,
	}
}

// TaskRunner returns the client's operations as a TaskRunner.
func (c *Client) TaskRunner() TaskRunner {
	return TaskRunner{
		Run:        c.run,
		Load:       c.load,
		Release:    c.release,
		Renew:      c.renew,
		Checkpoint: c.checkpoint,
		Stop:       c.stop,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.tasks.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

func (c *Client) run(ctx context.Context, t Task) (Answer, error) {
	r, err := c.newRequest(ctx, http.MethodPost, t.ID, "", t.Body)
	if err != nil {
		return Answer{}, &NotStartedError{ID: t.ID, Cause: err}
	}
	setTaskHeaders(r, t)
	return c.startTask(r, t.ID)
}

func (c *Client) load(ctx context.Context, t Task) error {
	r, err := c.newRequest(ctx, http.MethodPut, t.ID, "", t.Body)
	if err != nil {
		return err
	}
	setTaskHeaders(r, t)
	return expectNoContent(c.tasks, r)
}

func (c *Client) release(ctx context.Context, id string, lease time.Duration) (Answer, error) {
	r, err := c.newRequest(ctx, http.MethodPost, id, "/release", nil)
	if err != nil {
		return Answer{}, &NotStartedError{ID: id, Cause: err}
	}
	r.Header.Set(headerLease, lease.String())
	return c.startTask(r, id)
}

func (c *Client) renew(ctx context.Context, id string, lease time.Duration) error {
	r, err := c.newRequest(ctx, http.MethodPut, id, "/lease", nil)
	if err != nil {
		return err
	}
	r.Header.Set(headerLease, lease.String())
	return expectNoContent(c.control, r)
}

func (c *Client) checkpoint(ctx context.Context, id string) error {
	r, err := c.newRequest(ctx, http.MethodPost, id, "/checkpoint", nil)
	if err != nil {
		return err
	}
	return expectNoContent(c.control, r)
}

func (c *Client) stop(ctx context.Context, id string) error {
	r, err := c.newRequest(ctx, http.MethodDelete, id, "", nil)
	if err != nil {
		return err
	}
	return expectNoContent(c.control, r)
}

func (c *Client) newRequest(ctx context.Context, method, id, action string, body []byte) (*http.Request, error) {
	u := c.base + tasksPath + url.PathEscape(id) + action
	return http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
}

func setTaskHeaders(r *http.Request, t Task) {
	// Without GetBody the transport cannot resend the request after a failure.
	r.GetBody = nil
	h := r.Header
	h.Set(headerCustomer, t.Customer)
	h.Set(headerService, t.Service)
	h.Set(headerLease, t.Lease.String())
	h.Set(headerRank, strconv.Itoa(t.Rank))
	h.Set(headerSize, strconv.Itoa(t.Size))
	if t.ContentType != "" {
		h.Set("Content-Type", t.ContentType)
	}
	if t.Key != "" {
		h.Set(headerKey, t.Key)
	}
	if t.Checkpoint != "" {
		h.Set(headerCheckpoint, t.Checkpoint)
	}
}

// startTask sends a request that starts a task and reads the complete answer.
func (c *Client) startTask(r *http.Request, id string) (Answer, error) {
	resp, err := c.tasks.Do(r)
	if err != nil {
		return Answer{}, classifySendError(id, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return Answer{}, &AnswerLostError{ID: id, Cause: err}
	}
	if int64(len(body)) > c.maxAnswer {
		return Answer{}, &AnswerLostError{ID: id, Cause: errAnswerTooLarge}
	}
	switch resp.Header.Get(headerState) {
	case stateNotStarted:
		return Answer{}, &NotStartedError{ID: id, Cause: &StatusError{Status: resp.StatusCode}}
	case stateCheckpointed, stateStopped:
		return Answer{}, &StoppedError{ID: id, Checkpoint: resp.Header.Get(headerCheckpoint)}
	}
	return Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// classifySendError returns a NotStartedError if the connection could not be
// established, and an AnswerLostError otherwise.
func classifySendError(id string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotStartedError{ID: id, Cause: err}
	}
	return &AnswerLostError{ID: id, Cause: err}
}

func expectNoContent(client *http.Client, r *http.Request) error {
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
