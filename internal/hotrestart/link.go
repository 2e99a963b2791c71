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

// sendTimeout limits the time to send one message.
const sendTimeout = time.Second

// maxSockets limits the number of file descriptors that are sent with one message.
const maxSockets = 64

// Link is the connection between the two processes of a hot restart. Any number of goroutines may send, but only one
// may receive.
type Link struct {
	conn   *net.UnixConn
	reader *bufio.Reader // reads from conn through a descriptorReader

	// unclaimed holds the received descriptors of each message with sockets that has not been parsed yet. It is used by
	// the receiving goroutine only.
	unclaimed [][]*os.File

	sendMu  sync.Mutex // held while a message is written; guards sendErr
	sendErr error      // why this process cannot send any more, nil while it can

	callMu     sync.Mutex              // guards lastCallID and calls
	lastCallID uint64                  // number of the last call, from 1
	calls      map[uint64]*pendingCall // by number
	ended      chan struct{}           // closed when Receive returns
}

func newLink(conn *net.UnixConn) *Link {
	l := &Link{conn: conn, calls: map[uint64]*pendingCall{}, ended: make(chan struct{})}
	l.reader = bufio.NewReader(descriptorReader{l})
	return l
}

// Close closes the link. The other process handles this as the exit of this process. Messages that have not been
// received here are lost.
func (l *Link) Close() { l.conn.Close() }

// EndReceiveAfter ends Receive after a delay, unless the other process exits first.
func (l *Link) EndReceiveAfter(limit time.Duration) { l.conn.SetReadDeadline(time.Now().Add(limit)) }

// descriptorReader reads bytes from the connection of a link and appends the file descriptors that arrive with them to
// Link.unclaimed. The kernel delivers those of different messages by different reads. It drops descriptors if this
// process cannot open more files, and reports this by a flag.
type descriptorReader struct{ link *Link }

// Read implements io.Reader.
func (r descriptorReader) Read(p []byte) (int, error) {
	const descriptorBytes = 4
	control := make([]byte, unix.CmsgSpace(maxSockets*descriptorBytes))
	n, controlBytes, flags, _, err := r.link.conn.ReadMsgUnix(p, control)
	n = max(n, 0)
	if controlBytes <= 0 && flags&unix.MSG_CTRUNC == 0 {
		return n, err
	}
	files, malformed := parseDescriptors(control[:max(controlBytes, 0)])
	r.link.unclaimed = append(r.link.unclaimed, files)
	return n, errors.Join(err, malformed)
}

// parseDescriptors returns the file descriptors in the control messages of one read.
func parseDescriptors(control []byte) ([]*os.File, error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("hot restart: receiving sockets: %w", err)
	}
	var files []*os.File
	for i := range messages {
		descriptors, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			continue // a control message without descriptors
		}
		for _, fd := range descriptors {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// send sends a message with sockets, which also stay open in this process. It returns a *TooManySocketsError or the
// error of the connection. After an error of the connection no message can be sent, see stopSending.
func (l *Link) send(m message, sockets ...Socket) error {
	if len(sockets) > maxSockets {
		return &TooManySocketsError{Sockets: len(sockets)}
	}
	for _, s := range sockets {
		m.Sockets = append(m.Sockets, s.Name)
	}
	line, err := marshal(m)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if l.sendErr != nil {
		return l.sendErr
	}
	descriptors := make([]int, len(sockets))
	return withDescriptors(sockets, descriptors, func() error {
		l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		err := l.writeLine(line, descriptors)
		if err != nil {
			l.stopSending(err)
		}
		return err
	})
}

// CanSend reports whether messages can be sent: no message has failed because of the connection.
func (l *Link) CanSend() bool {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.sendErr == nil
}

// stopSending makes later sends fail. The last message may have been written in part, and the other process would read
// another one as its continuation. The other process reads the end of the stream, and handles this as the exit of this
// process. This process can still receive: the other one may have handed over requests before it exited. The caller must
// hold sendMu.
func (l *Link) stopSending(err error) {
	l.sendErr = err
	_ = l.conn.CloseWrite() // fails if the link is closed
}

// writeLine writes a line, and sends the descriptors with its first byte. The caller must hold sendMu.
func (l *Link) writeLine(line []byte, descriptors []int) error {
	if len(descriptors) > 0 {
		n, _, err := l.conn.WriteMsgUnix(line, unix.UnixRights(descriptors...), nil)
		if err != nil {
			return fmt.Errorf("hot restart: sending sockets: %w", err)
		}
		line = line[n:]
	}
	if _, err := l.conn.Write(line); err != nil {
		return fmt.Errorf("hot restart: sending a message: %w", err)
	}
	return nil
}

// withDescriptors fills descriptors, one for each socket, and calls use. Until use returns, no socket is closed and no
// descriptor is reused. SyscallConn guarantees this only for its own socket, hence the recursion.
func withDescriptors(sockets []Socket, descriptors []int, use func() error) error {
	if len(sockets) == 0 {
		return use()
	}
	raw, err := sockets[0].Conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("hot restart: accessing a socket to send: %w", err)
	}
	var useErr error
	controlErr := raw.Control(func(fd uintptr) {
		descriptors[0] = int(fd)
		useErr = withDescriptors(sockets[1:], descriptors[1:], use)
	})
	return errors.Join(controlErr, useErr)
}

// receivedMessage is a message with the sockets that were sent with it.
type receivedMessage struct {
	message
	files map[string]*os.File // by socket name, without those that were dropped; the receiver must close them
}

// receive reads the next message. It returns ErrVersionMismatch or the error of the connection. After an error no more
// messages can be received.
func (l *Link) receive() (receivedMessage, error) {
	m, err := l.receiveMessage()
	if err != nil {
		l.closeUnusedFiles()
	}
	return m, err
}

// closeUnusedFiles closes the descriptors that have arrived with a message that was not received completely. Otherwise
// the other ends of their connections would not see that both processes have closed them.
func (l *Link) closeUnusedFiles() {
	for _, files := range l.unclaimed {
		for _, file := range files {
			file.Close()
		}
	}
	l.unclaimed = nil
}

func (l *Link) receiveMessage() (receivedMessage, error) {
	line, err := l.readLine()
	if err != nil {
		return receivedMessage{}, err
	}
	m, err := parseMessage(line)
	if err != nil {
		return receivedMessage{}, err
	}
	files, err := l.claimFiles(m.Sockets)
	return receivedMessage{message: m, files: files}, err
}

// claimFiles returns the descriptors of the next message with sockets, by name. Those that were dropped, which are the
// last ones, are missing.
func (l *Link) claimFiles(names []string) (map[string]*os.File, error) {
	files := map[string]*os.File{}
	if len(names) == 0 {
		return files, nil
	}
	if len(l.unclaimed) == 0 || len(l.unclaimed[0]) > len(names) {
		return nil, fmt.Errorf("%w: no descriptors for %d sockets", ErrVersionMismatch, len(names))
	}
	for n, file := range l.unclaimed[0] {
		files[names[n]] = file
	}
	l.unclaimed = l.unclaimed[1:]
	return files, nil
}

// readLine reads a line including its newline. It returns ErrVersionMismatch if the line is longer than
// maxMessageBytes.
func (l *Link) readLine() ([]byte, error) {
	var line []byte
	for {
		fragment, err := l.reader.ReadSlice('\n')
		line = append(line, fragment...)
		switch {
		case err == nil:
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("hot restart: receiving a message: %w", err)
		case len(line) > maxMessageBytes:
			return nil, fmt.Errorf("%w: line longer than %d bytes", ErrVersionMismatch, maxMessageBytes)
		}
	}
}

// SendSiblingUpdate sends an update on this process, such as its requests in flight, encoded in JSON.
func (l *Link) SendSiblingUpdate(v any) error {
	text, err := marshal(v)
	if err != nil {
		return err
	}
	return l.send(message{Update: text})
}

// SendServing notifies the predecessor that this process has started to accept connections.
func (l *Link) SendServing() error { return l.send(message{Serving: true}) }

// SendRequest hands over one request in flight, encoded in JSON, with its sockets.
func (l *Link) SendRequest(v any, sockets []Socket) error {
	text, err := marshal(v)
	if err != nil {
		return err
	}
	return l.send(message{Request: text}, sockets...)
}

// Handler has a function for each kind of message that a link receives. Messages without a function are ignored.
type Handler struct {
	Serving       func()                // the successor has started to serve
	SiblingUpdate func(json.RawMessage) // an update on the other process, such as its requests in flight
	Command       func(Command)         // a command of an operator; its result is reported by Link.SendResult

	// SyncIDs returns the IDs of the requests that are open in the predecessor, which claims those of later requests.
	SyncIDs func() []string
	// Claim records that the predecessor serves a request, unless a request with the ID is open in the successor.
	Claim func(id string) (granted bool)

	// Request receives a request in flight that the predecessor hands over, and its sockets by name: ClientSocket for
	// the client's connection, and the numbers of the attempts. Sockets that this process could not receive are missing.
	// It must close the files.
	Request func(json.RawMessage, map[string]*os.File)
}

// Receive handles messages sequentially until the other process exits or the link is closed. It handles all messages
// that the other process has sent before its exit. It returns the error that ended the loop. It must be called once.
func (l *Link) Receive(h Handler) error {
	defer close(l.ended)
	for {
		m, err := l.receive()
		if err != nil {
			return err
		}
		l.handle(h, m)
	}
}

// handle calls the functions for the fields that a message has set, and sends the results of calls. It closes the files
// unless Request receives them.
func (l *Link) handle(h Handler, m receivedMessage) {
	if m.Result != nil {
		l.deliverResult(*m.Result)
	}
	if m.Serving && h.Serving != nil {
		h.Serving()
	}
	if m.Update != nil && h.SiblingUpdate != nil {
		h.SiblingUpdate(m.Update)
	}
	if m.Command != "" && h.Command != nil {
		h.Command(Command{Name: m.Command, callID: m.CallID})
	}
	if m.Request != nil && h.Request != nil {
		h.Request(m.Request, m.files)
		return
	}
	closeFiles(m.files)
	l.handleIDs(h, m)
}

// handleIDs sends the results of calls about request IDs. If a result cannot be sent, the call times out: requests that
// the other process hands over are still received.
func (l *Link) handleIDs(h Handler, m receivedMessage) {
	switch {
	case m.SyncIDs && h.SyncIDs != nil:
		_ = l.send(message{Result: &callResult{CallID: m.CallID, IDs: h.SyncIDs()}})
	case m.Claim != "" && h.Claim != nil:
		_ = l.send(message{Result: &callResult{CallID: m.CallID, Refused: !h.Claim(m.Claim)}})
	}
}
