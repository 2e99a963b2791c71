package protocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Request is a client's request.
type Request struct {
	Method         string
	Target         string
	ID             string
	Operation      string        // name of the operation, "" where the client names none
	Tenant         string        // name of the tenant, "" where the client names none
	Timeout        time.Duration // from arrival until the client gives up, 0 where it names none
	SizeHint       time.Duration // the client's estimate of the work, 0 where it gives none
	Slots          float64       // of a worker that the request takes, 0 where the client gives none
	IdempotencyKey string        // by which workers recognize a repeated request, "" where there is none
	Body           []byte

	forwarded []field // sent to workers unchanged
}

// forwardedFields are the fields that workers get unchanged.
var forwardedFields = []struct{ name, sentAs string }{
	{fieldIdempotencyKey, "Idempotency-Key"},
	{fieldContentType, "Content-Type"},
}

// singleFields may come at most once. Of two, a worker and the dispatcher could read different ones.
var singleFields = []string{
	fieldID, fieldOperation, fieldTenant, fieldTimeout, fieldSizeHint, fieldExtra, fieldIdempotencyKey, fieldContentType,
}

// Limits of a request's fields. Those of numbers keep durations, and sums over requests, from overflowing.
const (
	maxIDBytes        = 256
	maxTimeoutSeconds = math.MaxInt32
	maxSizeHintMicros = 1e12
	maxSlots          = 1e6
)

// ParseRequest returns the request that a head announces, without its body. The error is ErrMalformed with the field that
// is wrong.
func ParseRequest(h *Head) (*Request, error) {
	request := &Request{
		Method:         h.Method,
		Target:         h.Target,
		ID:             h.Field(fieldID),
		Operation:      h.Field(fieldOperation),
		Tenant:         h.Field(fieldTenant),
		IdempotencyKey: h.Field(fieldIdempotencyKey),
	}
	if !isPrintable(request.ID) || len(request.ID) > maxIDBytes {
		return nil, fmt.Errorf("%w: %s missing, not printable or longer than %d bytes", ErrMalformed, sentID, maxIDBytes)
	}
	for _, name := range singleFields {
		if h.count(name) > 1 {
			return nil, fmt.Errorf("%w: more than one field %s", ErrMalformed, name)
		}
	}
	if h.has(fieldIdempotencyKey) && !isPrintable(request.IdempotencyKey) {
		return nil, fmt.Errorf("%w: Idempotency-Key %.40q", ErrMalformed, request.IdempotencyKey)
	}
	if err := request.parseNumbers(h); err != nil {
		return nil, err
	}
	for _, f := range forwardedFields {
		if value := h.Field(f.name); value != "" {
			request.forwarded = append(request.forwarded, field{f.sentAs, value})
		}
	}
	return request, nil
}

// parseNumbers parses the fields that are numbers: the timeout, the size hint and the slots. A timeout of 0 is malformed,
// as the client would not wait for any response.
func (r *Request) parseNumbers(h *Head) error {
	if h.has(fieldTimeout) {
		seconds, valid := parseDecimal(h.Field(fieldTimeout), maxTimeoutSeconds)
		if !valid || seconds == 0 {
			return fmt.Errorf("%w: %s %.40q", ErrMalformed, sentTimeout, h.Field(fieldTimeout))
		}
		r.Timeout = time.Duration(seconds * float64(time.Second))
	}
	if h.has(fieldSizeHint) {
		micros, valid := parseDecimal(h.Field(fieldSizeHint), maxSizeHintMicros)
		if !valid {
			return fmt.Errorf("%w: %s %.40q", ErrMalformed, sentSizeHint, h.Field(fieldSizeHint))
		}
		r.SizeHint = time.Duration(micros * float64(time.Microsecond))
	}
	return r.parseExtra(h.Field(fieldExtra))
}

// parseExtra parses a list of name=value, of which it reads the slots and skips other names.
func (r *Request) parseExtra(list string) error {
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != extraSlots {
			continue
		}
		slots, valid := parseDecimal(value, maxSlots)
		if !valid {
			return fmt.Errorf("%w: %s %.40q", ErrMalformed, sentExtra, pair)
		}
		r.Slots = slots
	}
	return nil
}

// parseDecimal parses a number from 0 to limit in plain decimals: without sign, exponent, infinity or another base.
func parseDecimal(s string, limit float64) (value float64, valid bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(s, 64)
	return value, err == nil && value <= limit
}
