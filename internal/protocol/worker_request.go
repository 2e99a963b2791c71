package protocol

import (
	"slices"
	"strconv"
	"time"
)

// maxFixedRequestBytes is an upper bound on the length of the fixed text that AppendWorkerRequest writes.
const maxFixedRequestBytes = 160

// timeoutDecimals is the number of decimals of the timeout, in seconds, that is sent to a worker.
const timeoutDecimals = 3

// AppendWorkerRequest appends a request in the form that is sent to a worker. timeout is the remaining client timeout;
// a negative timeout is sent as 0.
func AppendWorkerRequest(b []byte, r *Request, timeout time.Duration) []byte {
	size := maxFixedRequestBytes + len(r.Method) + len(r.Target) + len(r.ID) + len(r.Body)
	for _, f := range r.forwarded {
		size += len(f.name) + len(f.value) + len("\r\n: ")
	}
	b = slices.Grow(b, size)
	b = appendRequestLine(b, r.Method, r.Target)
	b = append(b, "\r\n"+canonicalID+": "...)
	b = append(b, r.ID...)
	b = append(b, "\r\n"+canonicalTimeout+": "...)
	b = strconv.AppendFloat(b, max(timeout, 0).Seconds(), 'f', timeoutDecimals, 64)
	for _, f := range r.forwarded {
		b = append(b, "\r\n"...)
		b = append(b, f.name...)
		b = append(b, ": "...)
		b = append(b, f.value...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}

// AppendGet appends a GET request for a target.
func AppendGet(b []byte, target string) []byte {
	b = appendRequestLine(b, "GET", target)
	return append(b, "\r\n\r\n"...)
}

// appendRequestLine appends the request line and the Host field, without the line end of the Host field.
func appendRequestLine(b []byte, method, target string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	return append(b, hostName...)
}
