package hotrestart

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
)

// hosting runs a host that hands over one listener and a text, until the test ends.
func hosting(t *testing.T, p Rendezvous, met chan<- *Link) (ln *net.TCPListener) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	ln = listener.(*net.TCPListener)
	h := Listener{
		Rendezvous: p, Log: zerolog.Nop(), IsStopping: func() bool { return false },
		Sockets:  func() []Socket { return []Socket{{ClientSocket, ln}} },
		Snapshot: func() any { return "known" },
		Serve: func(ctx context.Context, l *Link) {
			defer context.AfterFunc(ctx, l.Close)()
			met <- l
			_ = l.Receive(Handler{SiblingUpdate: func(b json.RawMessage) { _ = l.SendSiblingUpdate(b) }})
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
		ln.Close()
	})
	assert.Eventually(t, func() bool {
		_, err := os.Stat(filepath.Join(p.dir, p.file))
		return err == nil
	}, time.Second, time.Millisecond)
	return ln
}

func TestSocketsAndWhatIsKnownAreHandedOver(t *testing.T) {
	for _, dir := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("a", 120))} {
		assert.NoError(t, os.MkdirAll(dir, 0o700))
		p, met := RendezvousFor(dir, "n3", "127.0.0.1:1"), make(chan *Link, 2)
		ln := hosting(t, p, met)
		for range 2 { // one that fails to start leaves the place to the next
			heir, err := Connect(p)
			if !assert.NoError(t, err) {
				return
			}
			<-met
			assert.JSONEq(t, `"known"`, string(heir.Snapshot))
			taken, err := net.FileListener(heir.Sockets[ClientSocket])
			assert.NoError(t, err)
			assert.Equal(t, ln.Addr(), taken.Addr(), "one queue")
			taken.Close()
			assert.NoError(t, heir.Link.SendSiblingUpdate(7))
			m, _, err := heir.Link.receive()
			assert.NoError(t, err)
			assert.JSONEq(t, "7", string(m.Twin))
			heir.Link.Close()
		}
	}
}

// Guards against a start that fails, or waits, because of what another process has left.
func TestWhatIsLeftInTheDirectoryDoesNotStopAStart(t *testing.T) {
	p := RendezvousFor(t.TempDir(), "n3")
	heir, err := Connect(p)
	assert.Nil(t, heir)
	assert.NoError(t, err, "nobody")
	ln, err := p.listen()
	assert.NoError(t, err)
	ln.Close()
	heir, err = Connect(p)
	assert.Nil(t, heir)
	assert.NoError(t, err, "a killed process's socket")
	assert.NoError(t, os.Remove(filepath.Join(p.dir, p.file)))
	assert.NoError(t, os.WriteFile(filepath.Join(p.dir, p.file), []byte("x"), 0o600))
	heir, err = Connect(p)
	assert.Nil(t, heir)
	assert.NoError(t, err, "a file")
	hosting(t, p, make(chan *Link, 1))
	none := RendezvousFor(filepath.Join(t.TempDir(), "none"), "n3")
	host := Listener{Rendezvous: none, Log: zerolog.Nop(), IsStopping: func() bool { return false }}
	assert.NoError(t, host.Run(context.Background()), "no such directory: it serves without")
}

func TestAProcessOfAnotherVersionIsTurnedDown(t *testing.T) {
	p := RendezvousFor(t.TempDir(), "n3")
	hosting(t, p, make(chan *Link, 1))
	c, err := p.dial()
	assert.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	assert.NoError(t, newLink(c).send(message{Version: version + 1}))
	_, _, err = newLink(c).receive()
	assert.Error(t, err, "nothing is handed to it")
	_, err = parseMessage([]byte(`{"v":`))
	assert.ErrorIs(t, err, ErrVersionMismatch)
}

// Guards against a predecessor that hangs: a start waits for it within a bound.
func TestASilentPredecessorIsGivenUp(t *testing.T) {
	p := RendezvousFor(t.TempDir(), "n3")
	ln, err := p.listen()
	assert.NoError(t, err)
	defer ln.Close()
	began := time.Now()
	_, err = Connect(p)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.InDelta(t, meetWithin.Seconds(), time.Since(began).Seconds(), 0.5)
	assert.NotErrorIs(t, err, syscall.ECONNREFUSED)
}
