package operator

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShutdownAnswersRequestThatIsArriving guards against a planned stop that drops the
// first request of a connection because its last bytes are read after the stop began.
func TestShutdownAnswersRequestThatIsArriving(t *testing.T) {
	is := is.New(t)
	web, err := serveStandin(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	is.NoErr(err)
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", web.addr.String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\n"))
	is.NoErr(err)
	for len(web.newConns.list()) == 0 {
		time.Sleep(time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		web.shutdown(time.Minute)
	}()
	time.Sleep(20 * time.Millisecond) // the shutdown has begun
	_, err = c.Write([]byte("Host: entry\r\n\r\n"))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	<-done
}
