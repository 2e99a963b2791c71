package transport

import (
	"errors"
	"io"

	"canvasroute/internal/protocol"
)

// ErrTruncated is returned by reads if the peer closed the connection in the middle of a message.
var ErrTruncated = errors.New("connection closed within a message")

// fill reads once into the read buffer. At the end of the stream it returns io.EOF, or ErrTruncated if data is
// buffered.
func (c *Conn) fill() error {
	_, err := c.readBuf.Fill(&c.stream)
	c.lastReadFilledBuffer = c.readBuf.Full()
	if errors.Is(err, io.EOF) && c.readBuf.Len() > 0 {
		return ErrTruncated
	}
	return err
}

// ReadRequestHead reads the head of a client's request. onFirstByte, which may be nil, is called when the first byte is
// available. The error is io.EOF if the connection was closed before the first byte, ErrTruncated if it was closed
// within the head, protocol.ErrMalformed, protocol.ErrHeadTooLarge or an error of the connection.
func (c *Conn) ReadRequestHead(onFirstByte func()) (protocol.Head, error) {
	return c.readHead(protocol.ParseRequestHead, onFirstByte)
}

// ReadResponseHead reads the head of a final response and skips interim responses (RFC 9110, 15.2). It returns the
// errors of ReadRequestHead. After an error the head may be empty or incomplete.
func (c *Conn) ReadResponseHead() (head protocol.Head, err error) {
	for protocol.IsInterim(head.Status) && err == nil {
		head, err = c.readHead(protocol.ParseResponseHead, nil)
	}
	return head, err
}

// readHead reads until parse returns a complete head or an error.
func (c *Conn) readHead(parse func([]byte) (protocol.ParsedHead, error), onFirstByte func()) (protocol.Head, error) {
	for {
		if c.readBuf.Len() > 0 {
			if onFirstByte != nil {
				onFirstByte()
				onFirstByte = nil
			}
			head, err := parse(c.readBuf.Bytes())
			if err != nil || head.Length > 0 {
				c.readBuf.Discard(head.Length)
				return head.Head, err
			}
		}
		if c.readBuf.Full() {
			return protocol.Head{}, protocol.ErrHeadTooLarge
		}
		if err := c.fill(); err != nil {
			return protocol.Head{}, err
		}
	}
}

// ReadPieces passes a body to consume in pieces, until the body is complete or consume returns false. The error is
// ErrTruncated if the connection is closed before the body is complete, protocol.ErrMalformed or an error of the
// connection.
func (c *Conn) ReadPieces(body *protocol.Body, consume func([]byte) bool) error {
	for !body.Done() {
		piece, err := body.Next(c.readBuf.Bytes())
		if err != nil {
			return err
		}
		wantsMore := len(piece.Data) == 0 || consume(piece.Data)
		c.readBuf.Discard(piece.Consumed)
		if !wantsMore {
			return nil
		}
		if piece.Consumed > 0 || body.Done() {
			continue
		}
		err = c.fill()
		if errors.Is(err, io.EOF) {
			err = ErrTruncated
		}
		if body.EndsWithConnection() && errors.Is(err, ErrTruncated) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// ReadBody reads a body of at most limit bytes. It returns protocol.ErrTooLarge for a longer body, or an error of
// ReadPieces with the content read so far.
func (c *Conn) ReadBody(body protocol.Body, limit int) ([]byte, error) {
	content := make([]byte, 0, min(body.Length(), readBufferBytes)) // a client can announce more than it sends
	err := c.readLimited(body, limit, func(data []byte) { content = append(content, data...) })
	if errors.Is(err, protocol.ErrTooLarge) {
		return nil, err
	}
	return content, err
}

// DiscardBody reads and discards a body of at most limit bytes. It returns the errors of ReadBody.
func (c *Conn) DiscardBody(body protocol.Body, limit int) error {
	return c.readLimited(body, limit, func([]byte) {})
}

// readLimited passes a body of at most limit bytes to consume in pieces.
func (c *Conn) readLimited(body protocol.Body, limit int, consume func([]byte)) error {
	if body.Length() > int64(limit) {
		return protocol.ErrTooLarge
	}
	total := 0
	err := c.ReadPieces(&body, func(data []byte) bool {
		total += len(data)
		if total > limit {
			return false
		}
		consume(data)
		return true
	})
	if total > limit {
		return protocol.ErrTooLarge
	}
	return err
}
