package protocol

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The tests in this file compare bytes and names on the wire with literals. Other programs depend on the same values,
// so a failing test indicates an incompatible change.

// TestLoadDatagramBytes checks the datagrams by which dispatchers exchange the load of workers.
func TestLoadDatagramBytes(t *testing.T) {
	loads := []Load{{Tag: 0x0102, InFlight: 3}, {Tag: 0xfffe, InFlight: 300}}
	for _, tt := range []struct {
		name     string
		instance int
		loads    []Load
		want     string
	}{
		{"hello of a process that has just started", -1, nil, "abcd"},
		{"only instance of a process", -1, loads, "abcd" + "010203" + "fffeff"},
		{"first of several instances", 0, loads, "abcd" + "00" + "010203" + "fffeff"},
		{"last of several instances", 63, loads[:1], "abcd" + "3f" + "010203"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			encoded := AppendLoadDatagram(nil, 0xabcd, tt.instance, tt.loads)
			assert.Equal(t, tt.want, hex.EncodeToString(encoded))
			datagram, err := ParseLoadDatagram(encoded)
			assert.NoError(t, err)
			assert.Equal(t, []any{uint16(0xabcd), max(tt.instance, 0), len(tt.loads)},
				[]any{datagram.Timestamp, datagram.Instance, len(datagram.Loads)})
		})
	}
	assert.Len(t, AppendLoadDatagram(nil, 0, 5, make([]Load, 1000)), 255, "a datagram holds at most 84 loads")
}

// TestWorkerTagBytes checks the hash of worker names, which must be the same in all dispatchers.
func TestWorkerTagBytes(t *testing.T) {
	for name, want := range map[string]uint16{"": 0x1cd9, "w": 0xcd3a, "s-1": 0xb53f, "s-00ffa1c2": 0xd52d} {
		assert.Equal(t, want, WorkerTag(name), name)
	}
}

// TestWorkerRequestBytes checks the request that is sent to a worker.
func TestWorkerRequestBytes(t *testing.T) {
	all := requestHead(t, "Req-Id: 9b\r\nReq-Kind: render\r\nReq-Owner: acme\r\nReq-Deadline: 9\r\nReq-Cost: 1500\r\n"+
		"Req-Extra: slots=2\r\nReq-Retry: 1\r\nIdempotency-Key: k1\r\nContent-Type: text/plain\r\nX-Other: y")
	assert.Equal(t, []any{"render", true}, []any{all.Operation(), all.IsRetry()})
	for _, tt := range []struct {
		name    string
		head    *Head
		body    string
		timeout time.Duration
		want    string
	}{
		{
			"all fields", all, "body", 1234567 * time.Microsecond,
			"POST /api?q=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9b\r\nReq-Deadline: 1.235\r\n" +
				"Idempotency-Key: k1\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody",
		},
		{
			"required fields only, no time left", requestHead(t, "Req-Id: 9c\r\nReq-Kind: render"), "", -time.Second,
			"POST /api?q=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9c\r\nReq-Deadline: 0.000\r\n" +
				"Content-Length: 0\r\n\r\n",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			request, err := ParseRequest(tt.head)
			assert.NoError(t, err)
			request.Body = []byte(tt.body)
			assert.Equal(t, tt.want, string(AppendWorkerRequest(nil, request, tt.timeout)))
		})
	}
}

// TestGetRequestBytes checks the requests for the endpoint list, and for the load and health of a worker.
func TestGetRequestBytes(t *testing.T) {
	for _, tt := range []struct{ name, target, want string }{
		{
			"watch of the endpoint list", WatchTarget(9007199254740993),
			"GET /catalog/members?stream=1&index=9007199254740993 HTTP/1.1\r\nHost: origin.svc\r\n\r\n",
		},
		{"endpoint list", PathEndpoints, "GET /catalog/members HTTP/1.1\r\nHost: origin.svc\r\n\r\n"},
		{"load report", PathLoad, "GET /_load HTTP/1.1\r\nHost: origin.svc\r\n\r\n"},
		{"health check", PathHealth, "GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n"},
	} {
		assert.Equal(t, tt.want, string(AppendGet(nil, tt.target)), tt.name)
	}
	assert.Equal(t, "/api", PathRequest)
}

// TestResponseHeadBytes checks the head of each response that can be sent to a client.
func TestResponseHeadBytes(t *testing.T) {
	for _, tt := range []struct {
		name        string
		response    Response
		persistence Persistence
		want        string
	}{
		{"success", Response{Status: 200, Body: []byte("made")}, KeepAlive, "200 OK\r\nContent-Length: 4"},
		{"malformed", Response{Status: 400}, CloseAfterResponse, "400 Bad Request\r\nContent-Length: 0\r\nConnection: close"},
		{"unknown path", Response{Status: 404}, KeepAlive, "404 Not Found\r\nContent-Length: 0"},
		{
			"method not allowed",
			Response{Status: 405, Allow: "GET, HEAD"},
			KeepAlive,
			"405 Method Not Allowed\r\nContent-Length: 0\r\nAllow: GET, HEAD",
		},
		{"request timeout", Response{Status: 408}, CloseAfterResponse, "408 Request Timeout\r\nContent-Length: 0\r\nConnection: close"},
		{"ID in use", Response{Status: 409}, KeepAlive, "409 Conflict\r\nContent-Length: 0"},
		{"large body", Response{Status: 413}, KeepAlive, "413 Content Too Large\r\nContent-Length: 0"},
		{
			"throttled",
			Response{Status: 429, RetryAfter: 1500 * time.Millisecond},
			KeepAlive,
			"429 Too Many Requests\r\nContent-Length: 0\r\nRetry-After: 1.5",
		},
		{"throttled without Retry-After", Response{Status: 429}, KeepAlive, "429 Too Many Requests\r\nContent-Length: 0"},
		{"large head", Response{Status: 431}, KeepAlive, "431 Request Header Fields Too Large\r\nContent-Length: 0"},
		{"bad gateway", Response{Status: 502}, KeepAlive, "502 Bad Gateway\r\nContent-Length: 0"},
		{
			"not ready",
			Response{Status: 503, RetryAfter: 2 * time.Second},
			CloseAfterResponse,
			"503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 2\r\nConnection: close",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, "HTTP/1.1 "+tt.want+"\r\n\r\n", string(AppendResponseHead(nil, &tt.response, tt.persistence)))
		})
	}
	assert.Equal(t, "HTTP/1.1 100 Continue\r\n\r\n", Continue)
}

// TestAttemptStates checks the names by which a worker reports the state of an attempt, and the values of the
// constants.
func TestAttemptStates(t *testing.T) {
	for word, want := range map[string]AttemptState{
		"started": 1, "running": 2, "done": 3, "failed": 4, "returned": 5, "lost": 6,
		"Done": 0, "resting": 0,
	} {
		line, err := ParseWorkerLine([]byte(`{"id":"a","state":"` + word + `","result":"r"}`))
		assert.NoError(t, err)
		assert.Equal(t, WorkerLine{ID: "a", State: want, Result: "r"}, line, word)
	}
}

// TestEndpointStates checks the names of worker states in an endpoint list.
func TestEndpointStates(t *testing.T) {
	for _, word := range []string{"Ready", "Terminating", "Gone"} {
		list, err := ParseEndpointList([]byte(`{"seq":1,"hosts":[{"host":"a","health":"` + word + `"}]}`))
		assert.NoError(t, err)
		assert.Equal(t, []Endpoint{{ID: "a", State: word}}, list.Endpoints)
	}
}

// TestOperatorCommands checks the names of operator commands, and the format of the responses.
func TestOperatorCommands(t *testing.T) {
	for _, word := range []string{"HEALTH", "DUMP", "LEAVE", "JOIN"} {
		command, err := ParseCommand([]byte(word + "\n"))
		assert.NoError(t, err)
		assert.Equal(t, word, string(command))
	}
	assert.Equal(t, "done\n", string(AppendCommandResult(nil, nil)))
	assert.Equal(t, "error malformed datagram\n", string(AppendCommandResult(nil, ErrMalformedDatagram)))
	assert.Equal(t, "done\nsvc.succeeded.render=7\nsvc.forwards=-1\nend\n", string(AppendDump(nil,
		[]Metric{{Name: "succeeded", Operation: "render", Value: 7}, {Name: "forwards", Value: -1}})))
}
