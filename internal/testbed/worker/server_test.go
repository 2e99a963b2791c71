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

// startWorker starts a warm worker with two cores and a queue of one, for one dispatcher.
func startWorker(t *testing.T, config Config) (*Server, *history.Log) {
	t.Helper()
	startedAt, log := time.Now(), history.New()
	config.IdleTimeout = 5 * time.Second
	fleet := NewFleet(config, []DedupConfig{{}, {Scope: "zone", Window: 10 * second}}, log,
		func() time.Duration { return time.Since(startedAt) }, nil)
	server := fleet.Add("w0", twoCores, 0, 0, 1)
	assert.NoError(t, server.StartWarm())
	t.Cleanup(fleet.Close)
	return server, log
}

// client is a dispatcher's connection to a worker.
type client struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

// connect opens a connection to a worker, which is closed at the end of the test.
func connect(t *testing.T, server *Server) *client {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addresses()[0])
	assert.NoError(t, err)
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { conn.Close() })
	return &client{conn, bufio.NewReader(conn), t}
}

// send records a request as opened and sends an attempt for it.
func (c *client) send(log *history.Log, id string, work time.Duration) {
	log.RequestOpened(id, 0, 0, 0)
	body := fmt.Sprintf(`{"operation":0,"work_us":%d}`, work.Microseconds())
	_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
	assert.NoError(c.t, err)
}

// read reads a complete response.
func (c *client) read() (status int, body string, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// hasEnded returns a condition that holds if the request has one attempt and the attempt ended as given.
func hasEnded(log *history.Log, id string, end history.AttemptEnd) func() bool {
	return func() bool { return assert.ObjectsAreEqual([]history.AttemptEnd{end}, log.AttemptEnds(id)) }
}

// jobCount returns the number of running and queued jobs.
func jobCount(server *Server) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	running, queued := server.current.machine.Load()
	return running + queued
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	assert.Eventually(t, condition, 5*time.Second, time.Millisecond)
}

func TestWorkerWritesStartProgressAndResultOnAReusableConnection(t *testing.T) {
	server, log := startWorker(t, Config{StartNotes: true, Progress: true})
	c := connect(t, server)
	for n := range 2 {
		id := fmt.Sprint("a", n)
		c.send(log, id, 20*time.Millisecond)
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
	attempt := log.Requests()[1].Attempts[0]
	assert.Equal(t, history.Done, attempt.End)
	assert.GreaterOrEqual(t, attempt.EndedAt-attempt.StartedAt, 20*time.Millisecond)
}

func TestFullWorkerDeclinesJobsAndDrainReturnsWaitingOnes(t *testing.T) {
	server, log := startWorker(t, Config{})
	conns := []*client{connect(t, server), connect(t, server), connect(t, server), connect(t, server)}
	for n, c := range conns[:3] {
		c.send(log, fmt.Sprint("a", n), 300*time.Millisecond)
	}
	eventually(t, func() bool { return jobCount(server) == 3 })
	conns[3].send(log, "a3", time.Second)
	status, _, err := conns[3].read()
	assert.NoError(t, err)
	assert.Equal(t, 503, status)
	server.Drain()
	returned, done := 0, 0
	for _, c := range conns[:3] {
		_, text, err := c.read()
		assert.NoError(t, err)
		returned += strings.Count(text, `"state":"returned"`)
		done += strings.Count(text, `"state":"done"`)
	}
	assert.Equal(t, []int{1, 2}, []int{returned, done})
}

func TestCrashResetsConnectionsAndRefusesNewOnesUntilRestart(t *testing.T) {
	server, log := startWorker(t, Config{StartNotes: true})
	c, address := connect(t, server), server.Addresses()[0]
	c.send(log, "a", time.Minute)
	_, err := c.reader.Peek(1)
	assert.NoError(t, err, "no start line was received")
	server.Crash()
	_, _, err = c.read()
	assert.True(t, errors.Is(err, syscall.ECONNRESET), err)
	_, err = net.Dial("tcp", address)
	assert.True(t, errors.Is(err, syscall.ECONNREFUSED), err)
	assert.Equal(t, []history.AttemptEnd{history.Crashed}, log.AttemptEnds("a"))
	assert.NoError(t, server.Start())
	assert.Equal(t, address, server.Addresses()[0])
	c = connect(t, server)
	c.send(log, "b", time.Millisecond)
	_, text, err := c.read()
	assert.NoError(t, err)
	assert.Contains(t, text, "b by w0.1", "the result is not from the second incarnation")
}

// Another process may bind the worker's port while the worker is down.
func TestRestartUsesAnotherPortIfItsOwnIsInUse(t *testing.T) {
	server, _ := startWorker(t, Config{})
	address := server.Addresses()[0]
	server.Crash()
	ln, err := net.Listen("tcp", address)
	assert.NoError(t, err)
	defer ln.Close()
	assert.NoError(t, server.Start())
	assert.NotEqual(t, address, server.Addresses()[0])
}

func TestClosedConnectionCancelsTheJob(t *testing.T) {
	server, log := startWorker(t, Config{})
	c := connect(t, server)
	c.send(log, "a", time.Minute)
	_, err := c.reader.Peek(1)
	assert.NoError(t, err)
	c.Close()
	eventually(t, hasEnded(log, "a", history.Abandoned))
	eventually(t, func() bool { return jobCount(server) == 0 })
}

func TestMutedWorkerRunsJobsWithoutReporting(t *testing.T) {
	server, log := startWorker(t, Config{StartNotes: true})
	server.Mute()
	c := connect(t, server)
	c.send(log, "a", 5*time.Millisecond)
	eventually(t, hasEnded(log, "a", history.NeverReported))
	c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, text, err := c.read()
	assert.Error(t, err)
	assert.NotContains(t, text, "done")
}

func TestPartitionedWorkerSendsNothingAndAcceptsNoConnection(t *testing.T) {
	server, log := startWorker(t, Config{})
	c := connect(t, server)
	c.send(log, "a", time.Millisecond)
	_, _, err := c.read()
	assert.NoError(t, err)
	server.Partition()
	eventually(t, func() bool {
		late, err := net.DialTimeout("tcp", server.Addresses()[0], 50*time.Millisecond)
		if err == nil {
			late.Close()
		}
		return err != nil
	})
	c.send(log, "b", time.Millisecond)
	c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = c.reader.Peek(1)
	assert.Error(t, err)
	server.Heal()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	_, text, err := c.read()
	assert.NoError(t, err)
	assert.Contains(t, text, "b by w0.0")
	c = connect(t, server)
	c.send(log, "c", time.Millisecond)
	_, _, err = c.read()
	assert.NoError(t, err)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	server, log := startWorker(t, Config{})
	c := connect(t, server)
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
	violations := log.Check(history.RuleConfig{})
	assert.Len(t, violations, 1, "the ID that no client sent must be the only violation")
	assert.Equal(t, "z", violations[0].ID)
}
