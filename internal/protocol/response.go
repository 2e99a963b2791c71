package protocol

import (
	"errors"
	"strconv"
	"time"
)

// Status codes (RFC 9110, 15) of responses to clients and from workers.
const (
	StatusContinue             = 100
	StatusOK                   = 200
	StatusNoContent            = 204
	StatusNotModified          = 304
	StatusBadRequest           = 400
	StatusNotFound             = 404
	StatusMethodNotAllowed     = 405
	StatusRequestTimeout       = 408
	StatusConflict             = 409
	StatusContentTooLarge      = 413
	StatusTooManyRequests      = 429
	StatusHeaderFieldsTooLarge = 431
	StatusBadGateway           = 502
	StatusServiceUnavailable   = 503
	StatusGatewayTimeout       = 504
)

// The first status codes of final responses and of client errors (RFC 9110, 15).
const (
	firstFinalStatus       = 200
	firstClientErrorStatus = 400
)

// IsInterim reports whether a status is that of an interim response, which precedes the final response (RFC 9110,
// 15.2).
func IsInterim(status int) bool { return status < firstFinalStatus }

// Response is a response to a client.
type Response struct {
	Status     int
	RetryAfter time.Duration // delay until the client should retry; 0 to send no Retry-After
	Allow      string        // allowed methods, for StatusMethodNotAllowed
	Body       []byte
}

// Persistence specifies whether a connection stays open for further requests after a response (RFC 9112, 9.3).
type Persistence uint8

// The values of Persistence.
const (
	KeepAlive Persistence = iota
	CloseAfterResponse
)

// Migrated is a placeholder for the response to a request that was migrated to another process of this dispatcher. It
// is compared by address, and never sent.
var Migrated = &Response{}

// Continue is the interim response that asks a client to send its body (RFC 9110, 10.1.1 and 15.2.1).
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// IsClientError reports whether the response rejects the request because of an error of the client (status 400 to 428),
// rather than because it was throttled or failed.
func (r *Response) IsClientError() bool {
	return r.Status >= firstClientErrorStatus && r.Status < StatusTooManyRequests
}

var reasonPhrases = map[int]string{
	StatusOK:                   "OK",
	StatusBadRequest:           "Bad Request",
	StatusNotFound:             "Not Found",
	StatusMethodNotAllowed:     "Method Not Allowed",
	StatusRequestTimeout:       "Request Timeout",
	StatusConflict:             "Conflict",
	StatusContentTooLarge:      "Content Too Large",
	StatusTooManyRequests:      "Too Many Requests",
	StatusHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusBadGateway:           "Bad Gateway",
	StatusServiceUnavailable:   "Service Unavailable",
}

// AppendResponseHead appends the head of a response. If the connection closes after the response, the head has a
// Connection field with the option "close" (RFC 9112, 9.6). Retry-After may be a fraction of a second, as the
// platform's clients expect, which deviates from RFC 9110, 10.2.3.
func AppendResponseHead(b []byte, r *Response, persistence Persistence) []byte {
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
	if persistence == CloseAfterResponse {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}

// RejectionForError returns the response to a request that could not be read: 413, 431 or 400 for the errors of this
// package. Any other error means that the request was not received in time, and results in a 408.
func RejectionForError(err error) *Response {
	switch {
	case errors.Is(err, ErrTooLarge):
		return &Response{Status: StatusContentTooLarge}
	case errors.Is(err, ErrHeadTooLarge):
		return &Response{Status: StatusHeaderFieldsTooLarge}
	case errors.Is(err, ErrMalformed):
		return &Response{Status: StatusBadRequest}
	}
	return &Response{Status: StatusRequestTimeout}
}
