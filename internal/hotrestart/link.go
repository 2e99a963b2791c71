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

// sendTimeout bounds the sending of one message.
const sendTimeout = time.Second

// maxSockets is how many descriptors come with one message.
const maxSockets = 64

// Link is the connection between the two processes of a hot restart. Many goroutines may send, one may receive.
type Link struct {
	conn    *net.UnixConn
	lines   *bufio.Reader
	files   []*os.File // received, with messages that are not read yet
	sending sync.Mutex
}

func newLink(conn *net.UnixConn) *Link {
	l := &Link{conn: conn}
	l.lines = bufio.NewReader(descriptorReader{l})
	return l
}

// Close closes the link. The other process sees it as this one's end.
func (l *Link) Close() { l.conn.Close() }

// descriptorReader reads bytes, and keeps the descriptors that come with them in the link.
type descriptorReader struct{ link *Link }

// Read implements io.Reader.
func (r descriptorReader) Read(p []byte) (int, error) {
	const descriptorBytes = 4
	control := make([]byte, unix.CmsgSpace(maxSockets*descriptorBytes))
	n, controlBytes, _, _, err := r.link.conn.ReadMsgUnix(p, control)
	n = max(n, 0)
	if controlBytes <= 0 {
		return n, err
	}
	messages, malformed := unix.ParseSocketControlMessage(control[:controlBytes])
	if malformed != nil {
		return n, errors.Join(err, malformed)
	}
	for i := range messages {
		descriptors, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			continue // not descriptors
		}
		for _, fd := range descriptors {
			unix.CloseOnExec(fd)
			r.link.files = append(r.link.files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return n, err
}

// send sends a message with sockets, which stay open in this process too.
func (l *Link) send(m message, sockets ...Socket) error {
	if len(sockets) > maxSockets {
		return fmt.Errorf("hot restart: %d sockets in a message, at most %d are possible", len(sockets), maxSockets)
	}
	for _, s := range sockets {
		m.Sockets = append(m.Sockets, s.Name)
	}
	line, err := marshal(m)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	l.sending.Lock()
	defer l.sending.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	descriptors := make([]int, len(sockets))
	return withDescriptors(sockets, descriptors, func() error { return l.write(line, descriptors) })
}

// write writes a line, with descriptors beside its first byte.
func (l *Link) write(line []byte, descriptors []int) error {
	if len(descriptors) > 0 {
		n, _, err := l.conn.WriteMsgUnix(line, unix.UnixRights(descriptors...), nil)
		if err != nil {
			return fmt.Errorf("hot restart: %w", err)
		}
		line = line[n:]
	}
	if _, err := l.conn.Write(line); err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	return nil
}

// withDescriptors puts the sockets' descriptors into a slice of the same length and calls use. Until it returns, no
// socket is closed and no descriptor used for something else.
func withDescriptors(sockets []Socket, descriptors []int, use func() error) error {
	if len(sockets) == 0 {
		return use()
	}
	raw, err := sockets[0].Conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	var used error
	controlErr := raw.Control(func(fd uintptr) {
		descriptors[0] = int(fd)
		used = withDescriptors(sockets[1:], descriptors[1:], use)
	})
	return errors.Join(controlErr, used)
}

// receive reads the next message, with its sockets by their names.
func (l *Link) receive() (message, map[string]*os.File, error) {
	line, err := l.readLine()
	if err != nil {
		return message{}, nil, err
	}
	m, err := parseMessage(line)
	if err != nil {
		return m, nil, err
	}
	if len(m.Sockets) > len(l.files) {
		return m, nil, fmt.Errorf("%w: %d descriptors for %d sockets", ErrVersionMismatch, len(l.files), len(m.Sockets))
	}
	sockets := map[string]*os.File{}
	for n, name := range m.Sockets {
		sockets[name] = l.files[n]
	}
	l.files = l.files[len(m.Sockets):]
	return m, sockets, nil
}

func (l *Link) readLine() ([]byte, error) {
	var line []byte
	for {
		fragment, err := l.lines.ReadSlice('\n')
		line = append(line, fragment...)
		switch {
		case err == nil:
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("hot restart: %w", err)
		case len(line) > maxMessageBytes:
			return nil, fmt.Errorf("%w: a line of more than %d bytes", ErrVersionMismatch, maxMessageBytes)
		}
	}
}

// SendSiblingUpdate sends what this process has in flight, in JSON.
func (l *Link) SendSiblingUpdate(v any) error {
	text, err := marshal(v)
	if err != nil {
		return err
	}
	return l.send(message{Update: text})
}

// SendCommand forwards an operator's command to the successor.
func (l *Link) SendCommand(command string) error { return l.send(message{Command: command}) }

// SendServing notifies the predecessor that this process accepts connections from now on.
func (l *Link) SendServing() error { return l.send(message{Serving: true}) }

// SendRequest hands over one request in flight, in JSON, with its sockets.
func (l *Link) SendRequest(v any, sockets []Socket) error {
	text, err := marshal(v)
	if err != nil {
		return err
	}
	return l.send(message{Request: text}, sockets...)
}

// Handler has a function for each kind of message that a link receives. Any may be nil.
type Handler struct {
	Serving       func()
	SiblingUpdate func(json.RawMessage)
	Command       func(string)
	Request       func(json.RawMessage, map[string]*os.File) // closes the files
}

// Receive handles messages until the other process ends or the link is closed, and returns why.
func (l *Link) Receive(h Handler) error {
	for {
		m, sockets, err := l.receive()
		if err != nil {
			return err
		}
		h.handle(m, sockets)
	}
}

func (h Handler) handle(m message, sockets map[string]*os.File) {
	if m.Serving && h.Serving != nil {
		h.Serving()
	}
	if m.Update != nil && h.SiblingUpdate != nil {
		h.SiblingUpdate(m.Update)
	}
	if m.Command != "" && h.Command != nil {
		h.Command(m.Command)
	}
	if m.Request != nil && h.Request != nil {
		h.Request(m.Request, sockets)
		return
	}
	closeAll(sockets)
}
