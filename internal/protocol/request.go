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
	Operation      string        // name of the operation, or "" if not given
	Tenant         string        // name of the tenant, or "" if not given
	Timeout        time.Duration // client timeout, from the arrival of the request; 0 if not given
	SizeHint       time.Duration // the client's estimate of the work, or 0 if not given
	Slots          float64       // worker slots that the request takes, or 0 if not given
	IdempotencyKey string        // key by which workers recognize a repeated request; "" if not given
	Body           []byte

	forwarded []field // fields that are sent to workers unchanged
}

// forwardedFields are the header fields that are forwarded to workers unchanged.
var forwardedFields = []struct{ name, canonicalName string }{
	{fieldIdempotencyKey, "Idempotency-Key"},
	{fieldContentType, "Content-Type"},
}

// nonRepeatableFields are the header fields that a request must not repeat. If a field were repeated, a worker and the
// dispatcher could use different values.
var nonRepeatableFields = []string{
	fieldID, fieldOperation, fieldTenant, fieldTimeout, fieldSizeHint, fieldExtra, fieldIdempotencyKey, fieldContentType,
}

// Limits on request fields. The limits on numbers prevent overflow of durations and of sums over requests.
const (
	maxIDBytes        = 256
	maxTimeoutSeconds = math.MaxInt32
	maxSizeHintMicros = 1e12
	maxSlots          = 1e6
)

// ParseRequest parses a request from its head, without the body. It returns ErrMalformed with the name of the invalid
// field.
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
		return nil, fmt.Errorf("%w: %s missing, not printable or longer than %d bytes", ErrMalformed, canonicalID, maxIDBytes)
	}
	for _, name := range nonRepeatableFields {
		if h.count(name) > 1 {
			return nil, fmt.Errorf("%w: repeated field %s", ErrMalformed, name)
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
			request.forwarded = append(request.forwarded, field{f.canonicalName, value})
		}
	}
	return request, nil
}

// parseNumbers parses the numeric fields: the timeout, the size hint and the slots. A timeout of 0 is malformed,
// because the client would not wait for any response.
func (r *Request) parseNumbers(h *Head) error {
	if h.has(fieldTimeout) {
		seconds, valid := parseDecimal(h.Field(fieldTimeout), maxTimeoutSeconds)
		if !valid || seconds == 0 {
			return fmt.Errorf("%w: %s %.40q", ErrMalformed, canonicalTimeout, h.Field(fieldTimeout))
		}
		r.Timeout = time.Duration(seconds * float64(time.Second))
	}
	if h.has(fieldSizeHint) {
		micros, valid := parseDecimal(h.Field(fieldSizeHint), maxSizeHintMicros)
		if !valid {
			return fmt.Errorf("%w: %s %.40q", ErrMalformed, canonicalSizeHint, h.Field(fieldSizeHint))
		}
		r.SizeHint = time.Duration(micros * float64(time.Microsecond))
	}
	return r.parseExtra(h.Field(fieldExtra))
}

// parseExtra parses a list of name=value pairs. It reads the slots and ignores other names.
func (r *Request) parseExtra(list string) error {
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != extraSlots {
			continue
		}
		slots, valid := parseDecimal(value, maxSlots)
		if !valid {
			return fmt.Errorf("%w: %s %.40q", ErrMalformed, canonicalExtra, pair)
		}
		r.Slots = slots
	}
	return nil
}

// parseDecimal parses a decimal number from 0 to limit. Signs, exponents, infinities, NaN and other bases are rejected.
func parseDecimal(s string, limit float64) (value float64, valid bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(s, 64)
	return value, err == nil && value <= limit
}
