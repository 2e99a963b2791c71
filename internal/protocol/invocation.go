package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Request is what a client hands in.
type Request struct {
	Method, Target    string
	ID                string
	Operation, Tenant string // names
	Timeout           time.Duration
	SizeHint          time.Duration // 0 where there is none
	Slots             float64       // 0 where not told
	IdempotencyKey    string        // the key by which workers drop repeats, "" where there is none
	Body              []byte

	passed []field // goes on to workers unchanged
}

// carried is an invocation as one process of a dispatcher hands it to another.
type carried struct {
	Method    string        `json:"Method"`
	Target    string        `json:"Target"`
	ID        string        `json:"ID"`
	Operation string        `json:"Operation"`
	Owner     string        `json:"Owner"`
	Dedup     string        `json:"Dedup"`
	Timeout   time.Duration `json:"Timeout"`
	Hint      time.Duration `json:"Hint"`
	Slots     float64       `json:"Slots"`
	Body      []byte        `json:"Body"`
	Passed    [][2]string   `json:"Passed"`
}

// MarshalJSON writes all of an invocation.
func (inv *Request) MarshalJSON() ([]byte, error) {
	c := carried{
		inv.Method, inv.Target, inv.ID, inv.Operation, inv.Tenant, inv.IdempotencyKey, inv.Timeout, inv.SizeHint,
		inv.Slots, inv.Body, nil,
	}
	for _, f := range inv.passed {
		c.Passed = append(c.Passed, [2]string{f.name, f.value})
	}
	return json.Marshal(c)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (inv *Request) UnmarshalJSON(b []byte) error {
	var c carried
	if err := json.Unmarshal(b, &c); err != nil {
		return err
	}
	*inv = Request{
		Method: c.Method, Target: c.Target, ID: c.ID, Operation: c.Operation, Tenant: c.Owner,
		IdempotencyKey: c.Dedup, Timeout: c.Timeout, SizeHint: c.Hint, Slots: c.Slots, Body: c.Body,
	}
	for _, f := range c.Passed {
		inv.passed = append(inv.passed, field{f[0], f[1]})
	}
	return nil
}

// Operation is the name of the operation that a head asks for, "" where it names none.
func (h *Head) Operation() string { return h.Field(fieldKind) }

// IsRetry tells whether the client marks the invocation as one that it has tried before.
func (h *Head) IsRetry() bool { return h.Field(fieldRetry) == "1" }

// passedOn are the further fields that workers may make use of.
var passedOn = []struct{ name, as string }{
	{fieldDedup, "Idempotency-Key"}, {"content-type", "Content-Type"},
}

// Bounds on figures. They guard the sums over hints, and spans of time, against one out of all proportion.
const (
	mostTimeout = math.MaxInt32 // in seconds
	mostCost    = 1e12          // in microseconds
	mostSlots   = 1e6
)

// once are the fields that are read, or that workers read: two of one name could be taken in two ways.
var once = []string{
	fieldID, fieldKind, fieldOwner, fieldTimeout, fieldCost, fieldExtra, fieldDedup,
	"content-type",
}

// ParseRequest reads an invocation's head. The error says what is malformed.
func ParseRequest(h *Head) (*Request, error) {
	inv := &Request{
		Method: h.Method, Target: h.Target, ID: h.Field(fieldID), Operation: h.Field(fieldKind),
		Tenant: h.Field(fieldOwner), IdempotencyKey: h.Field(fieldDedup),
	}
	if !visible(inv.ID) || len(inv.ID) > 256 {
		return nil, fmt.Errorf("%w: no Req-Id, or none of printing characters, or a long one", ErrMalformed)
	}
	for _, name := range once {
		if h.count(name) > 1 {
			return nil, fmt.Errorf("%w: %s twice", ErrMalformed, name)
		}
	}
	if h.has(fieldDedup) && !visible(inv.IdempotencyKey) {
		return nil, fmt.Errorf("%w: Idempotency-Key %.40q", ErrMalformed, inv.IdempotencyKey)
	}
	if err := inv.readFigures(h); err != nil {
		return nil, err
	}
	for _, p := range passedOn {
		if v := h.Field(p.name); v != "" {
			inv.passed = append(inv.passed, field{p.as, v})
		}
	}
	return inv, nil
}

// readFigures reads the fields that are numbers: the client's deadline, its estimate of the work, and the slots.
func (inv *Request) readFigures(h *Head) error {
	if h.has(fieldTimeout) {
		s, ok := figure(h.Field(fieldTimeout), mostTimeout)
		if !ok || s == 0 {
			return fmt.Errorf("%w: Req-Deadline %.40q", ErrMalformed, h.Field(fieldTimeout))
		}
		inv.Timeout = time.Duration(s * float64(time.Second))
	}
	if h.has(fieldCost) {
		us, ok := figure(h.Field(fieldCost), mostCost)
		if !ok {
			return fmt.Errorf("%w: Req-Cost %.40q", ErrMalformed, h.Field(fieldCost))
		}
		inv.SizeHint = time.Duration(us * float64(time.Microsecond))
	}
	for pair := range strings.SplitSeq(h.Field(fieldExtra), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != "slots" {
			continue
		}
		s, ok := figure(value, mostSlots)
		if !ok {
			return fmt.Errorf("%w: Req-Extra %.40q", ErrMalformed, pair)
		}
		inv.Slots = s
	}
	return nil
}

// figure reads a plain number from 0 to most: no sign, no infinity, no other base.
func figure(s string, most float64) (float64, bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v <= most
}

// Response is what a client gets.
type Response struct {
	Status     int
	RetryAfter time.Duration // of a throttled one: how long to stay away, 0 for no advice
	Allow      string        // of a wrong method: the right ones
	Body       []byte
}

// Migrated stands for the answer to an invocation that another process of this dispatcher goes on with.
var Migrated = &Response{}

// ClosesConnection tells whether the answer is to what was not taken, and is the client's own fault.
func (a *Response) ClosesConnection() bool { return a.Status >= 400 && a.Status < 429 }

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests",
	502: "Bad Gateway",
	431: "Request Header Fields Too Large", 503: "Service Unavailable",
}

// AppendResponseHead writes an answer's head, for a connection that goes on or is closed after it.
func AppendResponseHead(b []byte, a *Response, closes bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(a.Status), 10)
	b = append(append(b, ' '), reasons[a.Status]...)
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(a.Body)), 10)
	if a.RetryAfter > 0 {
		b = strconv.AppendFloat(append(b, "\r\nRetry-After: "...), a.RetryAfter.Seconds(), 'f', -1, 64)
	}
	if a.Allow != "" {
		b = append(append(b, "\r\nAllow: "...), a.Allow...)
	}
	if closes {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}

// Continue asks a client that waits with its body to send it.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// RejectionOf is the answer to what cannot be read.
func RejectionOf(err error) *Response {
	switch {
	case errors.Is(err, ErrTooLarge):
		return &Response{Status: 413}
	case errors.Is(err, ErrHeadTooLarge):
		return &Response{Status: 431}
	case errors.Is(err, ErrMalformed):
		return &Response{Status: 400}
	}
	return &Response{Status: 408} // it did not come in time
}
