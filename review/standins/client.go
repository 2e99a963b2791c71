package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a client's connection to a dispatcher. It sends one request at a time.
type client struct {
	b      *bench
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

func (b *bench) connect(name, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{b: b, name: name, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// job is a client's request.
type job struct {
	id, key, kind string
	deadline      time.Duration
	retry         bool
	cost          time.Duration
}

// kindOf returns the class of an id: the cases begin each id with it.
func kindOf(id string) string {
	kind, _, _ := strings.Cut(id, "-")
	return kind
}

// reply is a dispatcher's answer; status is 0 if the connection ended without one.
type reply struct {
	status int
	body   string
}

func (r reply) String() string {
	if r.status == 0 {
		return "no answer: the connection ended"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", r.status, r.body))
}

// do sends a request and waits for its answer.
func (c *client) do(j job) reply {
	c.send(j)
	return c.receive(j)
}

func (c *client) send(j job) {
	body := "{}"
	var head strings.Builder
	fmt.Fprintf(&head, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline: %.3f\r\n",
		j.id, j.kind, j.deadline.Seconds())
	fmt.Fprintf(&head, "Req-Cost: %d\r\nContent-Length: %d\r\n", j.cost.Microseconds(), len(body))
	if j.key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", j.key)
	}
	if j.retry {
		head.WriteString("Req-Retry: 1\r\n")
	}
	c.b.record(c.name, "sends %s %s key %q retry %v", j.kind, j.id, j.key, j.retry)
	_, _ = io.WriteString(c.conn, head.String()+"\r\n"+body)
}

// receive reads the final answer to a request.
func (c *client) receive(j job) reply {
	c.conn.SetReadDeadline(time.Now().Add(j.deadline + time.Second))
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			c.b.record(c.name, "%s: connection ended: %v", j.id, err)
			return reply{}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		r := reply{status: response.StatusCode, body: string(body)}
		c.b.record(c.name, "%s answered %v", j.id, r)
		return r
	}
}

func (c *client) close() { c.conn.Close() }
