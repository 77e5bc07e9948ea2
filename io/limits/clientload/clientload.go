// Package clientload opens connections of clients that do not comply with the
// limits, and reads the memory and descriptors of the process that they load. Only
// tests use it.
package clientload

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// writeLimit ends the writes of a client whose data the server does not read.
const writeLimit = 3 * time.Second

// Request is the start of an HTTP request, without the headers of its body.
type Request struct {
	Method, Path, Headers string
}

// String formats the request line and the headers.
func (r Request) String() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s", r.Method, r.Path, r.Headers)
}

// Load writes what one client sends.
type Load func(w io.Writer, r Request) error

// Loads returns the client loads by name. Bodies have the given size, which is the
// permitted one of the path, and pipelined is the number of requests on one
// connection.
func Loads(size, pipelined int) map[string]Load {
	body := strings.Repeat(" ", size-1) + "}"
	fields := `{"Steps":[` + strings.Repeat("{},", (size-20)/3) + `{}]}`
	return map[string]Load{
		"open body": func(w io.Writer, r Request) error {
			return write(w, sized(r, size)+body[:size-1])
		},
		"open body in small pieces": func(w io.Writer, r Request) error {
			return write(w, append([]string{sized(r, size)}, pieces(body[:size-1], 1000)...)...)
		},
		"open body in chunks": func(w io.Writer, r Request) error {
			parts := []string{r.String() + "Transfer-Encoding: chunked\r\n\r\n"}
			for _, p := range pieces(body[:size-1], 1000) {
				parts = append(parts, fmt.Sprintf("%x\r\n%s\r\n", len(p), p))
			}
			return write(w, parts...)
		},
		"body over the limit": func(w io.Writer, r Request) error {
			return write(w, sized(r, 64*size), body, body, body, body)
		},
		"chunks over the limit": func(w io.Writer, r Request) error {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			return write(w, r.String()+"Transfer-Encoding: chunked\r\n\r\n", chunk, chunk, chunk, chunk)
		},
		"many short fields": func(w io.Writer, r Request) error {
			return write(w, sized(r, len(fields))+fields)
		},
		"pipelined requests": func(w io.Writer, r Request) error {
			return write(w, strings.Repeat(sized(r, 2)+"{}", pipelined))
		},
		"pipelined queries": func(w io.Writer, r Request) error {
			r.Method = "GET"
			return write(w, strings.Repeat(r.String()+"\r\n", pipelined))
		},
		"slow body": func(w io.Writer, r Request) error {
			if err := write(w, sized(r, size)+body[:size/2]); err != nil {
				return err
			}
			for _, p := range pieces(body[:200], 1) {
				if err := write(w, p); err != nil {
					return err
				}
				time.Sleep(time.Millisecond)
			}
			return nil
		},
		"open header": func(w io.Writer, r Request) error {
			return write(w, r.String()+"X: "+strings.Repeat("x", 60<<10))
		},
		"part of a header": func(w io.Writer, r Request) error {
			return write(w, r.String()[:10])
		},
	}
}

func sized(r Request, size int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", r, size)
}

func pieces(text string, size int) []string {
	var out []string
	for len(text) > size {
		out, text = append(out, text[:size]), text[size:]
	}
	return append(out, text)
}

func write(w io.Writer, parts ...string) error {
	for _, p := range parts {
		if _, err := io.WriteString(w, p); err != nil {
			return err
		}
	}
	return nil
}

// Clients are open connections.
type Clients struct {
	mu    sync.Mutex
	conns []net.Conn
	wg    sync.WaitGroup
}

// Open starts n clients that each connect to addr and write a load, without reading
// an answer. Their connections stay open until Close.
func (c *Clients) Open(addr string, n int, load func(w io.Writer) error) {
	for range n {
		c.wg.Go(func() {
			conn, err := (&net.Dialer{Timeout: writeLimit}).DialContext(context.Background(), "tcp", addr)
			if err != nil {
				return // refused or not accepted, as the server may do
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
			_ = load(conn) // the server may close the connection at any time
		})
	}
}

// Wait waits until every client has written its load or was cut off.
func (c *Clients) Wait() { c.wg.Wait() }

// Close closes the connections.
func (c *Clients) Close() {
	c.wg.Wait()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// PeakResident returns the peak resident memory of a process in bytes.
func PeakResident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("process %d: no VmHWM", pid)
}

// Descriptors returns the number of open descriptors of a process.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
