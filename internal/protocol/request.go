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
	Method, Target    string
	ID                string
	Operation, Tenant string        // names, "" where there is none
	Timeout           time.Duration // from arrival until the client gives up, 0 where it names none
	SizeHint          time.Duration // the client's estimate of the work, 0 where it gives none
	Slots             float64       // of a worker that it takes, 0 where the client doesn't say
	IdempotencyKey    string        // by which workers recognize a repeated request, "" where there is none
	Body              []byte

	forwarded []field // sent to workers unchanged
}

// forwardedFields are the fields, beside those of Request, that workers may make use of.
var forwardedFields = []struct{ name, sentAs string }{
	{fieldIdempotencyKey, "Idempotency-Key"},
	{fieldContentType, "Content-Type"},
}

// singleFields may come at most once: workers or the dispatcher read them, and could read different ones of two.
var singleFields = []string{
	fieldID, fieldOperation, fieldTenant, fieldTimeout, fieldSizeHint, fieldExtra, fieldIdempotencyKey, fieldContentType,
}

// Limits of a request's fields. Those of numbers keep sums over requests, and durations, from overflowing.
const (
	maxIDBytes        = 256
	maxTimeoutSeconds = math.MaxInt32
	maxSizeHintMicros = 1e12
	maxSlots          = 1e6
)

// extraSlots is the name in fieldExtra, a list of name=value, that is read.
const extraSlots = "slots"

// ParseRequest parses a request's head. The error is ErrMalformed with the field that is wrong.
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
		return nil, fmt.Errorf("%w: Req-Id missing, not printable or longer than %d bytes", ErrMalformed, maxIDBytes)
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

// parseNumbers parses the fields that are numbers: the timeout, the size hint and the slots.
func (r *Request) parseNumbers(h *Head) error {
	if h.has(fieldTimeout) {
		seconds, ok := parseDecimal(h.Field(fieldTimeout), maxTimeoutSeconds)
		if !ok || seconds == 0 {
			return fmt.Errorf("%w: Req-Deadline %.40q", ErrMalformed, h.Field(fieldTimeout))
		}
		r.Timeout = time.Duration(seconds * float64(time.Second))
	}
	if h.has(fieldSizeHint) {
		micros, ok := parseDecimal(h.Field(fieldSizeHint), maxSizeHintMicros)
		if !ok {
			return fmt.Errorf("%w: Req-Cost %.40q", ErrMalformed, h.Field(fieldSizeHint))
		}
		r.SizeHint = time.Duration(micros * float64(time.Microsecond))
	}
	for pair := range strings.SplitSeq(h.Field(fieldExtra), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != extraSlots {
			continue
		}
		slots, ok := parseDecimal(value, maxSlots)
		if !ok {
			return fmt.Errorf("%w: Req-Extra %.40q", ErrMalformed, pair)
		}
		r.Slots = slots
	}
	return nil
}

// parseDecimal parses a plain decimal number from 0 to limit: no sign, exponent, infinity or other base.
func parseDecimal(s string, limit float64) (value float64, ok bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(s, 64)
	return value, err == nil && value <= limit
}
