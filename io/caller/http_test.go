package caller

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallerThatDoesNotRead checks that a handler writing a large response to a
// caller that never reads it is not blocked forever.
func TestCallerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	s := httptest.NewServer(LimitBody(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		setWriteTimeout(w, 100*time.Millisecond)
		var err error
		for err == nil {
			_, err = w.Write(make([]byte, 1<<20))
		}
		ended <- err
	})))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(20 * time.Second):
		t.Fatal("the handler is still writing after 20 s")
	}
}
