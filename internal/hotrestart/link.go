package hotrestart

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on waiting for the other process.
const (
	meetWithin = 2 * time.Second // for all that a start waits for
	sendWithin = time.Second
)

// mostSockets is how many descriptors come with one message.
const mostSockets = 64

// Link is the connection between the two processes of an upgrade.
type Link struct {
	c     *net.UnixConn
	lines *bufio.Reader
	files []*os.File // that have come, and whose message has not been read yet
	mu    sync.Mutex // one message is sent at a time
}

func newLink(c *net.UnixConn) *Link {
	l := &Link{c: c}
	l.lines = bufio.NewReader(reader{l})
	return l
}

// Close ends the link; the other side takes it for this process's end.
func (l *Link) Close() { l.c.Close() }

// reader keeps the descriptors that come with the bytes.
type reader struct{ l *Link }

func (r reader) Read(p []byte) (int, error) {
	oob := make([]byte, unix.CmsgSpace(mostSockets*4))
	n, m, _, _, err := r.l.c.ReadMsgUnix(p, oob)
	n, m = max(n, 0), max(m, 0)
	if m == 0 {
		return n, err
	}
	messages, wrong := unix.ParseSocketControlMessage(oob[:m])
	if wrong != nil {
		return n, errors.Join(err, wrong)
	}
	for i := range messages {
		fds, wrong := unix.ParseUnixRights(&messages[i])
		if wrong != nil {
			continue
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			r.l.files = append(r.l.files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return n, err
}

// send sends a message with sockets, which stay open here too.
func (l *Link) send(m message, sockets ...Socket) error {
	if len(sockets) > mostSockets {
		return fmt.Errorf("hand-over: %d sockets, there may be %d", len(sockets), mostSockets)
	}
	for _, s := range sockets {
		m.Sockets = append(m.Sockets, s.Name)
	}
	b, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.SetWriteDeadline(time.Now().Add(sendWithin))
	fds := make([]int, len(sockets))
	return controlled(sockets, fds, func() error {
		b = append(b, '\n')
		n := 0
		if len(fds) > 0 {
			if n, _, err = l.c.WriteMsgUnix(b, unix.UnixRights(fds...), nil); err != nil {
				return fmt.Errorf("hand-over: %w", err)
			}
		}
		if _, err := l.c.Write(b[n:]); err != nil {
			return fmt.Errorf("hand-over: %w", err)
		}
		return nil
	})
}

// controlled calls do while each socket's descriptor, in fds, is sure to stay what it is.
func controlled(sockets []Socket, fds []int, do func() error) (err error) {
	if len(sockets) == 0 {
		return do()
	}
	raw, err := sockets[0].Conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	held := raw.Control(func(fd uintptr) {
		fds[0] = int(fd)
		err = controlled(sockets[1:], fds[1:], do)
	})
	return errors.Join(held, err)
}

// receive reads the next message, with its descriptors by their names.
func (l *Link) receive() (message, map[string]*os.File, error) {
	var line []byte
	for {
		part, err := l.lines.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return message{}, nil, fmt.Errorf("hand-over: %w", err)
		}
		if len(line) > mostMessage {
			return message{}, nil, fmt.Errorf("%w: a line of more than %d bytes", ErrVersionMismatch, mostMessage)
		}
	}
	m, err := parseMessage(line)
	if err != nil {
		return m, nil, err
	}
	if len(m.Sockets) > len(l.files) {
		return m, nil, fmt.Errorf("%w: %d descriptors for %d sockets", ErrVersionMismatch, len(l.files), len(m.Sockets))
	}
	files := map[string]*os.File{}
	for n, name := range m.Sockets {
		files[name] = l.files[n]
	}
	l.files = l.files[len(m.Sockets):]
	return m, files, nil
}

// SendSiblingUpdate tells the other process what is out here.
func (l *Link) SendSiblingUpdate(v any) error {
	b, err := encoded(v)
	if err != nil {
		return err
	}
	return l.send(message{Twin: b})
}

// SendCommand passes an operator's call on to the successor.
func (l *Link) SendCommand(call string) error { return l.send(message{Call: call}) }

// SendServing tells the predecessor that this process accepts from now on.
func (l *Link) SendServing() error { return l.send(message{Serving: true}) }

// SendRequest hands over one invocation that is open, with its sockets.
func (l *Link) SendRequest(v any, sockets []Socket) error {
	b, err := encoded(v)
	if err != nil {
		return err
	}
	return l.send(message{Open: b}, sockets...)
}

func encoded(v any) (json.RawMessage, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("hand-over: %w", err)
	}
	return b, nil
}

// Handler are what a link brings. Each may be nil.
type Handler struct {
	Serving       func()
	SiblingUpdate func(json.RawMessage)
	Command       func(string)
	Request       func(json.RawMessage, map[string]*os.File)
}

// Receive hands on what the other process tells until its end, or the link's.
func (l *Link) Receive(e Handler) error {
	for {
		m, files, err := l.receive()
		if err != nil {
			return err
		}
		if m.Serving && e.Serving != nil {
			e.Serving()
		}
		if m.Twin != nil && e.SiblingUpdate != nil {
			e.SiblingUpdate(m.Twin)
		}
		if m.Call != "" && e.Command != nil {
			e.Command(m.Call)
		}
		if m.Open != nil && e.Request != nil {
			e.Request(m.Open, files)
			continue
		}
		for _, f := range files { // nobody wants them
			f.Close()
		}
	}
}
