package worker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/testbed/history"
)

// startWorker starts a worker of two cores and a queue of one, for one dispatcher.
func startWorker(t *testing.T, config Config) (*Server, *history.Log) {
	t.Helper()
	startedAt, l := time.Now(), history.New()
	config.IdleTimeout = 5 * time.Second
	f := NewFleet(config, []Deduplication{{}, {Scope: "zone", Window: 10 * sec}}, l,
		func() time.Duration { return time.Since(startedAt) }, nil)
	s := f.Add("w0", twoCores, 0, 0, 1)
	assert.NoError(t, s.Start(true))
	t.Cleanup(f.Close)
	return s, l
}

// client is one connection of a dispatcher.
type client struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

func connect(t *testing.T, s *Server) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.Addresses()[0])
	assert.NoError(t, err)
	c.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c), t}
}

func (c *client) send(l *history.Log, id string, work time.Duration) {
	if l != nil {
		l.RequestOpened(id, 0, 0, 0)
	}
	body := fmt.Sprintf(`{"operation":0,"work_us":%d}`, work.Microseconds())
	_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
	assert.NoError(c.t, err)
}

func (c *client) read() (status int, text string, err error) {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, string(b), err
}

func ended(l *history.Log, id string, how history.AttemptEnd) func() bool {
	return func() bool { return assert.ObjectsAreEqual([]history.AttemptEnd{how}, l.AttemptEnds(id)) }
}

// jobs returns the number of running and queued jobs.
func jobs(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, queued := s.current.machine.Load()
	return running + queued
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	assert.Eventually(t, condition, 5*time.Second, time.Millisecond)
}

func TestWorkerWritesStartProgressAndResultOnAReusableConnection(t *testing.T) {
	s, l := startWorker(t, Config{StartNotes: true, Progress: true})
	c := connect(t, s)
	for n := range 2 {
		id := fmt.Sprint("a", n)
		c.send(l, id, 20*time.Millisecond)
		status, text, err := c.read()
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
		states := []string{}
		for line := range strings.Lines(text) {
			states = append(states, strings.Split(strings.Split(line, `"state":"`)[1], `"`)[0])
			assert.Contains(t, line, `"id":"`+id+`"`)
		}
		assert.Equal(t, []string{"started", "running", "done"}, states)
		assert.Contains(t, text, `"result":"`+id+` by w0.0"`)
	}
	f := l.Requests()[1].Attempts[0]
	assert.Equal(t, history.Done, f.End)
	assert.GreaterOrEqual(t, f.EndedAt-f.StartedAt, 20*time.Millisecond)
}

func TestFullWorkerDeclinesAndDrainReturnsWaitingJobs(t *testing.T) {
	s, l := startWorker(t, Config{})
	conns := []*client{connect(t, s), connect(t, s), connect(t, s), connect(t, s)}
	for n, c := range conns[:3] {
		c.send(l, fmt.Sprint("a", n), 300*time.Millisecond)
	}
	eventually(t, func() bool { return jobs(s) == 3 })
	conns[3].send(l, "a3", time.Second)
	status, _, err := conns[3].read()
	assert.NoError(t, err)
	assert.Equal(t, 503, status)
	s.Drain()
	returned, done := 0, 0
	for _, c := range conns[:3] {
		_, text, err := c.read()
		assert.NoError(t, err)
		returned += strings.Count(text, `"state":"returned"`)
		done += strings.Count(text, `"state":"done"`)
	}
	assert.Equal(t, []int{1, 2}, []int{returned, done})
}

func TestCrashResetsConnectionsAndRefusesNewOnesUntilTheRestart(t *testing.T) {
	s, l := startWorker(t, Config{StartNotes: true})
	c, address := connect(t, s), s.Addresses()[0]
	c.send(l, "a", time.Minute)
	_, err := c.in.Peek(1)
	assert.NoError(t, err, "the start note")
	s.Crash()
	_, _, err = c.read()
	assert.True(t, errors.Is(err, syscall.ECONNRESET), err)
	_, err = net.Dial("tcp", address)
	assert.True(t, errors.Is(err, syscall.ECONNREFUSED), err)
	assert.Equal(t, []history.AttemptEnd{history.Crashed}, l.AttemptEnds("a"))
	assert.NoError(t, s.Start(false))
	assert.Equal(t, address, s.Addresses()[0])
	c = connect(t, s)
	c.send(l, "b", time.Millisecond)
	_, text, err := c.read()
	assert.NoError(t, err)
	assert.Contains(t, text, "b by w0.1", "the second incarnation")
}

// Another program may take the port while the worker is down.
func TestRestartUsesAnotherPortIfItsOwnIsTaken(t *testing.T) {
	s, _ := startWorker(t, Config{})
	address := s.Addresses()[0]
	s.Crash()
	ln, err := net.Listen("tcp", address)
	assert.NoError(t, err)
	defer ln.Close()
	assert.NoError(t, s.Start(false))
	assert.NotEqual(t, address, s.Addresses()[0])
}

func TestCancelledAttemptStopsItsJob(t *testing.T) {
	s, l := startWorker(t, Config{})
	c := connect(t, s)
	c.send(l, "a", time.Minute)
	_, err := c.in.Peek(1)
	assert.NoError(t, err)
	c.Close()
	eventually(t, ended(l, "a", history.Abandoned))
	eventually(t, func() bool { return jobs(s) == 0 })
}

func TestMutedWorkerRunsJobsWithoutReporting(t *testing.T) {
	s, l := startWorker(t, Config{StartNotes: true})
	s.Mute(true)
	c := connect(t, s)
	c.send(l, "a", 5*time.Millisecond)
	eventually(t, ended(l, "a", history.NeverReported))
	c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, text, err := c.read()
	assert.Error(t, err)
	assert.NotContains(t, text, "done")
}

func TestPartitionedWorkerIsSilentAndAcceptsNoConnection(t *testing.T) {
	s, l := startWorker(t, Config{})
	c := connect(t, s)
	c.send(l, "a", time.Millisecond)
	_, _, err := c.read()
	assert.NoError(t, err)
	s.Partition(true)
	eventually(t, func() bool {
		late, err := net.DialTimeout("tcp", s.Addresses()[0], 50*time.Millisecond)
		if err == nil {
			late.Close()
		}
		return err != nil
	})
	c.send(l, "b", time.Millisecond)
	c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = c.in.Peek(1)
	assert.Error(t, err)
	s.Partition(false)
	c.SetDeadline(time.Now().Add(5 * time.Second))
	_, text, err := c.read()
	assert.NoError(t, err)
	assert.Contains(t, text, "b by w0.0")
	c = connect(t, s)
	c.send(l, "c", time.Millisecond)
	_, _, err = c.read()
	assert.NoError(t, err)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	s, l := startWorker(t, Config{})
	c := connect(t, s)
	for text, want := range map[string]int{
		"GET /_load HTTP/1.1\r\nHost: x\r\n\r\n":                                    404,
		"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n":                404,
		"POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: z\r\nContent-Length: 2\r\n\r\n{}": 400,
	} {
		_, err := io.WriteString(c, text)
		assert.NoError(t, err)
		status, _, err := c.read()
		assert.NoError(t, err)
		assert.Equal(t, want, status, text)
	}
	violations := l.Check(history.RuleConfig{})
	assert.Len(t, violations, 1, "an id that no client sent")
	assert.Equal(t, "z", violations[0].ID)
}
