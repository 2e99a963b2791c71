package protocol

import (
	"encoding/json"
	"time"
)

// migratedRequest is the JSON form of a request that a process hands over to its successor during migration. The keys
// must not change, because processes of other versions read them.
type migratedRequest struct {
	Method         string        `json:"Method"`
	Target         string        `json:"Target"`
	ID             string        `json:"ID"`
	Operation      string        `json:"Operation"`
	Tenant         string        `json:"Owner"`
	IdempotencyKey string        `json:"Dedup"`
	Timeout        time.Duration `json:"Timeout"`
	SizeHint       time.Duration `json:"Hint"`
	Slots          float64       `json:"Slots"`
	Body           []byte        `json:"Body"`
	Forwarded      [][2]string   `json:"Passed"` // pairs of name and value
}

// MarshalJSON encodes the request, including its forwarded fields.
func (r *Request) MarshalJSON() ([]byte, error) {
	migrated := migratedRequest{
		Method:         r.Method,
		Target:         r.Target,
		ID:             r.ID,
		Operation:      r.Operation,
		Tenant:         r.Tenant,
		IdempotencyKey: r.IdempotencyKey,
		Timeout:        r.Timeout,
		SizeHint:       r.SizeHint,
		Slots:          r.Slots,
		Body:           r.Body,
	}
	for _, f := range r.forwarded {
		migrated.Forwarded = append(migrated.Forwarded, [2]string{f.name, f.value})
	}
	return json.Marshal(migrated)
}

// UnmarshalJSON decodes a request that was encoded by MarshalJSON.
func (r *Request) UnmarshalJSON(b []byte) error {
	var migrated migratedRequest
	if err := json.Unmarshal(b, &migrated); err != nil {
		return err
	}
	*r = Request{
		Method:         migrated.Method,
		Target:         migrated.Target,
		ID:             migrated.ID,
		Operation:      migrated.Operation,
		Tenant:         migrated.Tenant,
		IdempotencyKey: migrated.IdempotencyKey,
		Timeout:        migrated.Timeout,
		SizeHint:       migrated.SizeHint,
		Slots:          migrated.Slots,
		Body:           migrated.Body,
	}
	for _, f := range migrated.Forwarded {
		r.forwarded = append(r.forwarded, field{f[0], f[1]})
	}
	return nil
}
