package frame

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"bramleythread/io/wire"
)

var testKey = []byte("0123456789abcdef")

// echo replies to a RunRequest with a Result that has the same body, and to any
// other message with an Ack.
func echo(_ context.Context, _ *Conn, m wire.Message) wire.Message {
	r, ok := m.(*wire.RunRequest)
	if !ok {
		return &wire.Ack{OK: true}
	}
	return &wire.Result{Request: r.Request, Body: r.Body}
}

// listen serves echo on a loopback port until the test ends.
func listen(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		Serve(l, 16, Config{Local: wire.Hello{Name: "server"}, Key: testKey, Handle: echo}, func(*Conn) {})
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func dial(t *testing.T, addr netip.AddrPort, key []byte) (*Conn, error) {
	t.Helper()
	return Dial(context.Background(), addr, Config{Local: wire.Hello{Name: "client"}, Key: key, Handle: echo})
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	is := is.New(t)
	addr := listen(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c, err := dial(t, addr, testKey)
	is.NoErr(err)
	defer func() {
		c.Close()
		<-c.Done()
	}()
	const calls = 200
	errs := make(chan error, calls)
	for i := range calls {
		go func() {
			body := bytes.Repeat([]byte{byte(i)}, i*100)
			m, err := c.Call(context.Background(), &wire.RunRequest{Body: body})
			if err == nil && !bytes.Equal(m.(*wire.Result).Body, body) {
				err = errors.New("call received the reply of another call")
			}
			errs <- err
		}()
	}
	for range calls {
		is.NoErr(<-errs)
	}
}

func TestLargeBodyIsCarried(t *testing.T) {
	is := is.New(t)
	c, err := dial(t, listen(t), testKey)
	is.NoErr(err)
	defer c.Close()
	m, err := c.Call(context.Background(), &wire.RunRequest{Body: make([]byte, 8<<20)})
	is.NoErr(err)
	is.Equal(len(m.(*wire.Result).Body), 8<<20)
}

func TestWrongKeyIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := dial(t, listen(t), []byte("another key of 16"))
	var refused *HandshakeError
	is.True(errors.As(err, &refused))
}

// rawHandshake performs the handshake and returns the bare TCP connection, so
// that a test can write arbitrary bytes to it.
func rawHandshake(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	c := newConn(nc, Config{Local: wire.Hello{Name: "raw"}, Key: testKey})
	if err := c.dialHandshake(); err != nil {
		t.Fatal(err)
	}
	return nc
}

func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	header := func(length uint32, kind wire.Kind) []byte {
		b := make([]byte, headerSize)
		binary.BigEndian.PutUint32(b, length)
		b[4] = byte(kind)
		return b
	}
	for name, data := range map[string][]byte{
		"garbage":         bytes.Repeat([]byte{0xff, 0x13}, 200),
		"huge length":     header(1<<31, wire.KindRunRequest),
		"over the limit":  header(MaxBodySize+1, wire.KindRunRequest),
		"unknown kind":    append(header(1, 250), 0x80),
		"not msgpack":     append(header(3, wire.KindRunRequest), 0xc1, 0xc1, 0xc1),
		"huge array":      append(header(12, wire.KindReport), 0x81, 0xa5, 'u', 's', 'a', 'g', 'e', 0xdd, 0xff, 0xff, 0xff, 0xff),
		"handshake again": append(header(1, wire.KindHello), 0x80),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := listen(t)
			good, err := dial(t, addr, testKey)
			is.NoErr(err)
			defer good.Close()
			raw := rawHandshake(t, addr)
			_, err = raw.Write(data)
			is.NoErr(err)
			if name == "handshake again" {
				_ = raw.Close()
			}
			_ = raw.SetReadDeadline(time.Now().Add(10 * time.Second))
			for err == nil {
				_, err = raw.Read(make([]byte, 1024))
			}
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the server closed the connection before the deadline
			_, err = good.Call(context.Background(), &wire.RunRequest{})
			is.NoErr(err)
		})
	}
}

func TestPartialFrameClosesItsConnection(t *testing.T) {
	is := is.New(t)
	addr := listen(t)
	raw := rawHandshake(t, addr)
	frame, err := appendFrame(nil, wire.KindRunRequest, 0, 1, &wire.RunRequest{Body: make([]byte, 100)})
	is.NoErr(err)
	_, err = raw.Write(frame[:len(frame)/2])
	is.NoErr(err)
	_ = raw.SetReadDeadline(time.Now().Add(10 * time.Second))
	for err == nil {
		_, err = raw.Read(make([]byte, 1024))
	}
	var timeout net.Error
	is.True(!errors.As(err, &timeout) || !timeout.Timeout())
}

func TestCallOnClosedConnectionReportsNothingSent(t *testing.T) {
	is := is.New(t)
	c, err := dial(t, listen(t), testKey)
	is.NoErr(err)
	c.Close()
	<-c.Done()
	_, err = c.Call(context.Background(), &wire.RunRequest{})
	var closed *ClosedError
	is.True(errors.As(err, &closed))
	is.True(!closed.Sent)
}

func FuzzDecode(f *testing.F) {
	for _, m := range []wire.Message{
		&wire.RunRequest{Request: "r", Body: []byte("body")},
		&wire.Report{Worker: "w", Usage: []wire.Usage{{Customer: "c"}}},
		&wire.StartGang{Members: []wire.Member{{Worker: "w", Address: netip.MustParseAddrPort("127.0.0.1:1")}}},
		&wire.ConfigAnswer{Seen: []wire.LastSeen{{Worker: "w"}}},
	} {
		b, err := appendFrame(nil, m.Kind(), 0, 7, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0, 0, 0, 5, byte(wire.KindReport), 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		h, err := readHeader(r, 1<<20)
		if err != nil {
			return
		}
		m, _, err := decodeBody(r, h, nil)
		if err != nil {
			return
		}
		if _, err := appendFrame(nil, h.kind, h.flags, h.id, m); err != nil {
			t.Fatalf("encoding the decoded message: %v", err)
		}
	})
}

// TestPanickingHandlerEndsOnlyItsConnection sends a message whose handler
// panics. The sender's call fails, and other connections go on.
func TestPanickingHandlerEndsOnlyItsConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		Serve(l, 16, Config{Local: wire.Hello{Name: "server"}, Key: testKey, Handle: func(ctx context.Context, c *Conn, m wire.Message) wire.Message {
			if r, ok := m.(*wire.RunRequest); ok {
				return &wire.Result{Body: r.Body[:1]} // panics without a body
			}
			return echo(ctx, c, m)
		}}, func(*Conn) {})
	}()
	defer func() {
		_ = l.Close()
		<-served
	}()
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	failing, err := dial(t, addr, testKey)
	is.NoErr(err)
	other, err := dial(t, addr, testKey)
	is.NoErr(err)
	defer other.Close()
	_, err = failing.Call(context.Background(), &wire.RunRequest{})
	var closed *ClosedError
	is.True(errors.As(err, &closed))
	is.True(closed.Sent)
	_, err = other.Call(context.Background(), &wire.RunRequest{Body: []byte("x")})
	is.NoErr(err)
}
