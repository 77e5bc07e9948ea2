package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// Limits of the client's connections to the platform.
const (
	callTimeout  = 2 * time.Second
	maxIdleConns = 32
)

var errUnexpectedStatus = errors.New("unexpected status")

// Client is a client of Standin.Handler.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the stand-in at addr.
func NewClient(addr netip.AddrPort) *Client {
	return &Client{
		baseURL: "http://" + addr.String(),
		http: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
				MaxIdleConnsPerHost: maxIdleConns,
				DisableCompression:  true,
			},
		},
	}
}

// Store returns the operations of the remote stand-in. Watch and ReadPage are not
// available.
func (c *Client) Store() Store {
	return Store{
		Get:       c.get,
		Scan:      c.scan,
		Commit:    c.commit,
		PutObject: c.putObject,
		GetObject: c.getObject,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.callJSON(ctx, http.MethodGet, rowPath, "key", key, nil, &row)
	return row, err
}

func (c *Client) scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.callJSON(ctx, http.MethodGet, scanPath, "prefix", prefix, nil, &rows)
	return rows, err
}

func (c *Client) commit(ctx context.Context, t Txn) (uint64, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return 0, err
	}
	var r commitReply
	err = c.callJSON(ctx, http.MethodPost, commitPath, "", "", body, &r)
	return r.Revision, err
}

func (c *Client) putObject(ctx context.Context, key string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, objectPath, "key", key, data)
	return err
}

func (c *Client) getObject(ctx context.Context, key string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, objectPath, "key", key, nil)
}

func (c *Client) callJSON(ctx context.Context, method, path, param, value string, body []byte, out any) error {
	data, err := c.call(ctx, method, path, param, value, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

func (c *Client) call(ctx context.Context, method, path, param, value string, body []byte) ([]byte, error) {
	u := c.baseURL + path
	if param != "" {
		u += "?" + url.Values{param: {value}}.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, &UnavailableError{Op: path, MaybeApplied: !failedToDial(err), Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	if err != nil {
		return nil, &UnavailableError{Op: path, MaybeApplied: true, Cause: err}
	}
	return data, decodeStatus(path, value, resp.StatusCode, data)
}

// failedToDial reports whether no connection was established, so that the request
// was not sent.
func failedToDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func decodeStatus(path, key string, status int, data []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		e := &ConflictError{}
		if err := json.Unmarshal(data, &e.Rows); err != nil {
			return err
		}
		return e
	case http.StatusNotFound:
		return &NotFoundError{Key: key}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Op: path, Cause: errUnexpectedStatus}
	default:
		return &UnavailableError{Op: path, MaybeApplied: true, Cause: errUnexpectedStatus}
	}
}
