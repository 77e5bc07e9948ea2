package frame

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"time"

	"bramleythread/io/wire"
)

const nonceSize = 16 // bytes

// Labels keep the proof of one side from being played back as the other's.
const (
	dialerLabel   = "bramleythread dialer"
	acceptorLabel = "bramleythread acceptor"
)

// HandshakeError tells why a peer was turned away.
type HandshakeError struct {
	Peer   string
	Reason string
}

// Error describes the refusal.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("frame: handshake with %q: %s", e.Peer, e.Reason)
}

func (c *Conn) dialHandshake() error {
	hello := c.cfg.Local
	hello.Protocol = wire.Protocol
	hello.Nonce = newNonce()
	if err := c.handshakeWrite(&hello); err != nil {
		return err
	}
	var ch wire.Challenge
	if err := c.handshakeRead(&ch); err != nil {
		return err
	}
	c.peer = ch.Hello
	if err := c.checkPeer(); err != nil {
		return err
	}
	want := proof(c.cfg.Key, acceptorLabel, hello.Nonce, ch.Hello.Nonce)
	if !hmac.Equal(want, ch.Proof) {
		return &HandshakeError{Peer: c.peer.Name, Reason: "wrong key"}
	}
	own := proof(c.cfg.Key, dialerLabel, hello.Nonce, ch.Hello.Nonce)
	return c.handshakeWrite(&wire.ChallengeResponse{Proof: own})
}

func (c *Conn) acceptHandshake() error {
	var hello wire.Hello
	if err := c.handshakeRead(&hello); err != nil {
		return err
	}
	c.peer = hello
	if err := c.checkPeer(); err != nil {
		return err
	}
	own := c.cfg.Local
	own.Protocol = wire.Protocol
	own.Nonce = newNonce()
	p := proof(c.cfg.Key, acceptorLabel, hello.Nonce, own.Nonce)
	if err := c.handshakeWrite(&wire.Challenge{Hello: own, Proof: p}); err != nil {
		return err
	}
	var a wire.ChallengeResponse
	if err := c.handshakeRead(&a); err != nil {
		return err
	}
	if !hmac.Equal(proof(c.cfg.Key, dialerLabel, hello.Nonce, own.Nonce), a.Proof) {
		return &HandshakeError{Peer: hello.Name, Reason: "wrong key"}
	}
	return nil
}

func (c *Conn) checkPeer() error {
	if c.peer.Protocol != wire.Protocol {
		return &HandshakeError{Peer: c.peer.Name, Reason: fmt.Sprintf("protocol %d, want %d", c.peer.Protocol, wire.Protocol)}
	}
	if len(c.peer.Nonce) != nonceSize {
		return &HandshakeError{Peer: c.peer.Name, Reason: "bad nonce"}
	}
	return nil
}

func (c *Conn) handshakeWrite(m wire.Message) error {
	return c.writeFrame(m.Kind(), 0, 0, m)
}

func (c *Conn) handshakeRead(m wire.Message) error {
	if err := c.nc.SetReadDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return err
	}
	h, err := readHeader(c.r, handshakeBody)
	if err != nil {
		return err
	}
	if h.kind != m.Kind() {
		return &HandshakeError{Reason: fmt.Sprintf("message kind %d, want %d", h.kind, m.Kind())}
	}
	got, _, err := decodeBody(c.r, h, nil)
	if err != nil {
		return err
	}
	return assign(m, got)
}

// assign copies a handshake message into the one that the caller holds.
func assign(dst, src wire.Message) error {
	switch d := dst.(type) {
	case *wire.Hello:
		*d = *src.(*wire.Hello)
	case *wire.Challenge:
		*d = *src.(*wire.Challenge)
	case *wire.ChallengeResponse:
		*d = *src.(*wire.ChallengeResponse)
	default:
		return &wire.UnknownKindError{Kind: dst.Kind()}
	}
	return nil
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b)
	return b
}

func proof(key []byte, label string, dialer, acceptor []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(label))
	_, _ = h.Write(dialer)
	_, _ = h.Write(acceptor)
	return h.Sum(nil)
}
