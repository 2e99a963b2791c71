package upgrade

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on waiting for the other process.
const (
	meetWithin = 2 * time.Second // for all that a start waits for
	sendWithin = time.Second
)

// Link is the connection between the two processes of an upgrade.
type Link struct {
	c     *net.UnixConn
	lines *bufio.Reader
	mu    sync.Mutex // one message is sent at a time
}

func newLink(c *net.UnixConn) *Link { return &Link{c: c, lines: bufio.NewReader(c)} }

// Close ends the link; the other side takes it for this process's end.
func (l *Link) Close() { l.c.Close() }

func (l *Link) send(m message) error {
	b, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.SetWriteDeadline(time.Now().Add(sendWithin))
	if _, err := l.c.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	return nil
}

// receive reads the next message.
func (l *Link) receive() (message, error) {
	var line []byte
	for {
		part, err := l.lines.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return parseMessage(line)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return message{}, fmt.Errorf("hand-over: %w", err)
		}
		if len(line) > mostMessage {
			return message{}, fmt.Errorf("%w: a line of more than %d bytes", ErrForeign, mostMessage)
		}
	}
}

// SendTwin tells the other process what is out here.
func (l *Link) SendTwin(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	return l.send(message{Twin: b})
}

// SendCall passes an operator's call on to the successor.
func (l *Link) SendCall(call string) error { return l.send(message{Call: call}) }

// SendServing tells the predecessor that this process accepts from now on.
func (l *Link) SendServing() error { return l.send(message{Serving: true}) }

// Events are what a link brings. Each may be nil.
type Events struct {
	Serving func()
	Twin    func(json.RawMessage)
	Call    func(string)
}

// Follow hands on what the other process tells until its end, or the link's.
func (l *Link) Follow(e Events) error {
	for {
		m, err := l.receive()
		if err != nil {
			return err
		}
		if m.Serving && e.Serving != nil {
			e.Serving()
		}
		if m.Twin != nil && e.Twin != nil {
			e.Twin(m.Twin)
		}
		if m.Call != "" && e.Call != nil {
			e.Call(m.Call)
		}
	}
}

// sendSockets sends one byte with descriptors. Those sent stay open here.
func sendSockets(c *net.UnixConn, sockets []syscall.Conn) error {
	fds := make([]int, len(sockets))
	return controlled(sockets, fds, func() error {
		c.SetWriteDeadline(time.Now().Add(sendWithin))
		if _, _, err := c.WriteMsgUnix([]byte{'\n'}, unix.UnixRights(fds...), nil); err != nil {
			return fmt.Errorf("hand-over: %w", err)
		}
		return nil
	})
}

// controlled calls do while each socket's descriptor, in fds, is sure to stay what it is.
func controlled(sockets []syscall.Conn, fds []int, do func() error) (err error) {
	if len(sockets) == 0 {
		return do()
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	held := raw.Control(func(fd uintptr) {
		fds[0] = int(fd)
		err = controlled(sockets[1:], fds[1:], do)
	})
	return errors.Join(held, err)
}

// receiveSockets reads that byte, and the descriptors with it.
func receiveSockets(c *net.UnixConn) (files []*os.File, err error) {
	b, oob := make([]byte, 1), make([]byte, unix.CmsgSpace(8*4))
	n, m, _, _, err := c.ReadMsgUnix(b, oob)
	if err != nil || n != 1 {
		return nil, fmt.Errorf("hand-over: %w", errors.Join(err, io.ErrUnexpectedEOF))
	}
	messages, err := unix.ParseSocketControlMessage(oob[:m])
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}
