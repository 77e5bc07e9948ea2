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

// The labels differ, so that a proof of one side can't be replayed as a proof of
// the other side.
const (
	dialerLabel   = "bramleythread dialer"
	acceptorLabel = "bramleythread acceptor"
)

// HandshakeError reports why a peer was rejected.
type HandshakeError struct {
	Peer   string
	Reason string
}

// Error names the peer and the reason.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("frame: handshake with %q: %s", e.Peer, e.Reason)
}

func (c *Conn) dialHandshake() error {
	if err := c.startHandshake(1); err != nil {
		return err
	}
	hello := c.cfg.Local
	hello.Protocol = wire.Protocol
	hello.Nonce = newNonce()
	if err := c.writeHandshake(&hello); err != nil {
		return err
	}
	var challenge wire.Challenge
	if err := c.readHandshake(&challenge); err != nil {
		return err
	}
	c.peer = challenge.Hello
	if err := c.checkPeer(); err != nil {
		return err
	}
	want := computeProof(c.cfg.Key, acceptorLabel, hello.Nonce, challenge.Hello.Nonce)
	if !hmac.Equal(want, challenge.Proof) {
		return &HandshakeError{Peer: c.peer.Name, Reason: "wrong key"}
	}
	own := computeProof(c.cfg.Key, dialerLabel, hello.Nonce, challenge.Hello.Nonce)
	return c.writeHandshake(&wire.ChallengeResponse{Proof: own})
}

func (c *Conn) acceptHandshake() error {
	if err := c.startHandshake(2); err != nil {
		return err
	}
	var hello wire.Hello
	if err := c.readHandshake(&hello); err != nil {
		return err
	}
	c.peer = hello
	if err := c.checkPeer(); err != nil {
		return err
	}
	own := c.cfg.Local
	own.Protocol = wire.Protocol
	own.Nonce = newNonce()
	p := computeProof(c.cfg.Key, acceptorLabel, hello.Nonce, own.Nonce)
	if err := c.writeHandshake(&wire.Challenge{Hello: own, Proof: p}); err != nil {
		return err
	}
	var response wire.ChallengeResponse
	if err := c.readHandshake(&response); err != nil {
		return err
	}
	if !hmac.Equal(computeProof(c.cfg.Key, dialerLabel, hello.Nonce, own.Nonce), response.Proof) {
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

func (c *Conn) writeHandshake(m wire.Message) error {
	return c.writeFrame(m.Kind(), 0, 0, m)
}

// startHandshake limits the time of the whole handshake, in which this end reads the
// given number of messages.
func (c *Conn) startHandshake(messages int) error {
	return c.nc.SetReadDeadline(time.Now().Add(time.Duration(messages) * HandshakeTimeout))
}

func (c *Conn) readHandshake(m wire.Message) error {
	h, err := readHeader(c.r, maxHandshakeBody)
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
	return copyHandshake(m, got)
}

// copyHandshake copies the handshake message src to dst. Both must have the same
// type.
func copyHandshake(dst, src wire.Message) error {
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

func computeProof(key []byte, label string, dialer, acceptor []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(label))
	_, _ = h.Write(dialer)
	_, _ = h.Write(acceptor)
	return h.Sum(nil)
}
