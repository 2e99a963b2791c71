package transport

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnsolicitedData reports a reused connection that the peer closed, or on which it sent something, before the message
// on it was complete. The message's last byte wasn't sent, so that the peer can't have processed the message.
var ErrUnsolicitedData = errors.New("unsolicited data or close before the message was complete")

// Send writes a message, which is given in one or more fragments. It fails if that takes longer than timeout.
func (c *Conn) Send(timeout time.Duration, fragments ...[]byte) error {
	c.setWriteDeadline(time.Now().Add(timeout))
	for _, fragment := range fragments {
		if err := c.write(fragment); err != nil {
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

// SendOnReused is Send for a connection that has carried a message before. Before it sends the last byte, it checks that
// the connection is still open and that nothing has come on it; otherwise the error is ErrUnsolicitedData.
//
// A worker's late second response has no request ID, and would be taken for the response to this message. And had the
// worker closed the connection after the last byte, nobody could say whether it has processed the message.
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

// flush writes all that is buffered.
func (c *Conn) flush() error {
	if err := c.writeBuf.Drain(&c.stream); err != nil {
		return fmt.Errorf("sending: %w", err)
	}
	return nil
}
