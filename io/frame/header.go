package frame

import (
	"encoding/binary"
	"io"
	"slices"

	"bramleythread/io/wire"
)

type header struct {
	length int
	kind   wire.Kind
	flags  byte
	id     uint64
}

func readHeader(r io.Reader, limit int) (header, error) {
	var b [headerSize]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return header{}, err
	}
	n := binary.BigEndian.Uint32(b[0:4])
	if int64(n) > int64(limit) {
		return header{}, &LimitError{Quantity: "frame length", Value: int(n), Limit: limit}
	}
	return header{
		length: int(n),
		kind:   wire.Kind(b[4]),
		flags:  b[5],
		id:     binary.BigEndian.Uint64(b[6:14]),
	}, nil
}

// decodeBody reads the body of the frame into buf and decodes it. It replaces
// buf if its capacity is too small or larger than maxReusedBuffer.
func decodeBody(r io.Reader, h header, buf []byte) (wire.Message, []byte, error) {
	m, err := wire.NewMessage(h.kind)
	if err != nil {
		return nil, buf, err
	}
	if buf, err = readBody(r, h.length, buf); err != nil {
		return nil, buf, err
	}
	if _, err := m.UnmarshalMsg(buf); err != nil {
		return nil, buf, err
	}
	return m, buf, nil
}

// readBody reads n bytes into buf. A buffer that is too small grows with the bytes that
// arrive, not with the length that the peer declares.
func readBody(r io.Reader, n int, buf []byte) ([]byte, error) {
	if cap(buf) > maxReusedBuffer {
		buf = nil
	}
	buf = buf[:0]
	for len(buf) < n {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, min(max(len(buf), bodyStep), n-len(buf)))
		}
		part := buf[len(buf):min(cap(buf), n)]
		m, err := io.ReadFull(r, part)
		buf = buf[:len(buf)+m]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

func appendFrame(b []byte, k wire.Kind, flags byte, id uint64, m wire.Message) ([]byte, error) {
	b = append(b, make([]byte, headerSize)...)
	if m != nil {
		var err error
		if b, err = m.MarshalMsg(b); err != nil {
			return b, err
		}
	}
	binary.BigEndian.PutUint32(b[0:4], uint32(len(b)-headerSize))
	b[4] = byte(k)
	b[5] = flags
	binary.BigEndian.PutUint64(b[6:14], id)
	return b, nil
}
