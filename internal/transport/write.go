package transport

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnsolicitedData reports a reused connection that the peer closed, or on which it sent something, before the
// message on it was complete. The message's last byte wasn't sent.
var ErrUnsolicitedData = errors.New("unsolicited data or close before the message was complete")

// Send writes a message, in parts that follow each other, and fails if that takes longer than timeout.
func (c *Conn) Send(timeout time.Duration, parts ...[]byte) error {
	c.setWriteDeadline(time.Now().Add(timeout))
	for _, part := range parts {
		if err := c.write(part); err != nil {
			return err
		}
	}
	if err := c.flush(); err != nil {
		return err
	}
	c.messagesSent++
	c.readAtLastSend = c.stream.bytesRead.Load()
	return nil
}

// SendOnReused is Send for a connection that has carried a message before. It holds back the last byte until it has
// checked that the connection is still open and that nothing has come on it. A worker's late second response carries
// no request id and would be taken for the response to this message; and of a connection that is closed meanwhile
// nobody could say whether the message was processed. With ErrUnsolicitedData it wasn't, as it never was complete.
func (c *Conn) SendOnReused(timeout time.Duration, message []byte) error {
	c.setWriteDeadline(time.Now().Add(timeout))
	last := len(message) - 1
	if err := c.write(message[:last]); err != nil {
		return err
	}
	if err := c.flush(); err != nil {
		return err
	}
	if c.testHooks.beforeLastByte != nil {
		c.testHooks.beforeLastByte()
	}
	if c.readable() {
		return ErrUnsolicitedData
	}
	return c.Send(timeout, message[last:])
}

// write buffers p, and flushes the buffer whenever it is full.
func (c *Conn) write(p []byte) error {
	for len(p) > 0 {
		n := c.writeBuf.Write(p)
		p = p[n:]
		if !c.writeBuf.Full() {
			continue
		}
		if err := c.flush(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Conn) flush() error {
	if err := c.writeBuf.Drain(&c.stream); err != nil {
		return fmt.Errorf("sending: %w", err)
	}
	return nil
}
