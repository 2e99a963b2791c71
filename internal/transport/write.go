package transport

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnsolicitedData is returned by SendOnReused if the peer closed the connection or sent data before the message was
// complete. The last byte of the message wasn't sent, so the peer can't have processed the message.
var ErrUnsolicitedData = errors.New("unsolicited data or close before the message was complete")

// Send sends a message that consists of one or more fragments. It fails if this takes longer than timeout.
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

// SendOnReused is Send for a connection on which a message has been sent before. Before the last byte, it checks that
// the connection is still open and that no data was received on it. Otherwise it returns ErrUnsolicitedData.
//
// The check guards against a late second response of the worker, which has no request ID and would be taken for the
// response to this message. It also guards against a close by the worker: if the last byte had been sent, it would be
// unknown whether the worker has processed the message.
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

// write appends p to the write buffer, and flushes the buffer whenever it is full.
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

// flush writes all buffered data to the connection.
func (c *Conn) flush() error {
	if err := c.writeBuf.FlushTo(&c.stream); err != nil {
		return fmt.Errorf("sending: %w", err)
	}
	return nil
}
