package frame

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/io/slowlink"
	"bramleythread/io/wire"
)

// TestFrameOutlastsTimeouts guards against a connection that ends because one frame
// takes longer than the peer may be silent. Its bytes keep arriving.
func TestFrameOutlastsTimeouts(t *testing.T) {
	const idle = 4 * KeepAliveInterval
	tests := map[string]time.Duration{
		"longer than the idle timeout":  idle + 400*time.Millisecond,
		"longer than the write timeout": WriteTimeout + time.Second,
	}
	for name, took := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const size = 1 << 20
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			slow := &slowlink.Listener{Listener: l, BitsPerSecond: int(8 * size * time.Second / took)}
			accepted := make(chan *Conn, 1)
			go func() {
				nc, err := slow.Accept()
				if err != nil {
					return
				}
				c, err := Accept(nc, Config{Local: wire.Hello{Name: "server"}, Key: testKey, Handle: echo, IdleTimeout: idle})
				if err == nil {
					accepted <- c
				}
			}()
			c, err := Dial(context.Background(), l.Addr().(*net.TCPAddr).AddrPort(), Config{Local: wire.Hello{Name: "client"}, Key: testKey, Handle: echo, IdleTimeout: idle})
			is.NoErr(err)
			defer c.Close()
			server := <-accepted
			defer server.Close()
			m, err := c.Call(context.Background(), &wire.RunRequest{Body: make([]byte, size)})
			is.NoErr(err)
			is.Equal(len(m.(*wire.Result).Body), size)
			is.True(!c.Closed())
			is.True(!server.Closed())
		})
	}
}
