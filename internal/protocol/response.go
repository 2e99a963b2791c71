package protocol

import (
	"errors"
	"strconv"
	"time"
)

// Response is the response to a client.
type Response struct {
	Status     int
	RetryAfter time.Duration // how long the client should wait before it retries, 0 for no advice
	Allow      string        // of a 405: the methods that are allowed
	Body       []byte
}

// Migrated stands for the response to a request that another process of this dispatcher continues with. It is compared
// by its address, and never sent.
var Migrated = &Response{}

// Continue is the interim response that asks a client for the body that it holds back (RFC 9110, 10.1.1 and 15.2.1).
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// IsClientError reports whether the request was rejected as the client's own fault, rather than throttled or failed.
func (r *Response) IsClientError() bool { return r.Status >= 400 && r.Status < 429 }

var reasonPhrases = map[int]string{
	200: "OK",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	413: "Content Too Large",
	429: "Too Many Requests",
	431: "Request Header Fields Too Large",
	502: "Bad Gateway",
	503: "Service Unavailable",
}

// AppendResponseHead appends a response's head. closes announces that the connection is closed after it (RFC 9112,
// 9.6). Unlike in RFC 9110, 10.2.3, Retry-After may be a fraction of a second, as the platform's clients expect.
func AppendResponseHead(b []byte, r *Response, closes bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.Status]...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	if r.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, r.RetryAfter.Seconds(), 'f', -1, 64)
	}
	if r.Allow != "" {
		b = append(b, "\r\nAllow: "...)
		b = append(b, r.Allow...)
	}
	if closes {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}

// RejectionOf returns the response to a request on which reading failed: 413, 431 and 400 for the errors of this
// package, 408 for all others, as the request was not read in time.
func RejectionOf(err error) *Response {
	switch {
	case errors.Is(err, ErrTooLarge):
		return &Response{Status: 413}
	case errors.Is(err, ErrHeadTooLarge):
		return &Response{Status: 431}
	case errors.Is(err, ErrMalformed):
		return &Response{Status: 400}
	}
	return &Response{Status: 408}
}
