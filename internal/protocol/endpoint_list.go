package protocol

import (
	"fmt"
	"strconv"
)

// EndpointList is the discovery service's list of workers, or a change to it.
type EndpointList struct {
	Version   int64
	Complete  bool // it replaces what was known before
	Endpoints []Endpoint
}

// Endpoint is one worker in a list.
type Endpoint struct {
	ID              string  `json:"ID"`
	Address         string  `json:"Address"`
	Zone            string  `json:"Zone"`
	Kind            string  `json:"Kind"`
	Cell            int     `json:"Cell"`
	State           string  `json:"State"`
	StartedAtMillis float64 `json:"BornMs"` // Unix time; 0 for long ago
}

// The values of Endpoint.State.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// WatchTarget is the request target of the changes after a version.
func WatchTarget(version int64) string {
	return PathEndpoints + "?stream=1&index=" + strconv.FormatInt(version, 10)
}

// ParseEndpointList parses a list, or one line of a watch: a JSON object, of which unknown keys are skipped. With an
// error, which is ErrMalformed, the endpoints before it are returned.
func ParseEndpointList(b []byte) (list EndpointList, err error) {
	s := scanner{input: b}
	hasVersion := false
	s.object(func(key string) {
		switch key {
		case "seq":
			hasVersion = true
			list.Version = int64(s.number())
		case "whole":
			list.Complete = s.bool()
		case "hosts":
			s.array(func() {
				endpoint := s.endpoint()
				if s.err == nil {
					list.Endpoints = append(list.Endpoints, endpoint)
				}
			})
		default:
			s.skip()
		}
	})
	if err := s.finish(); err != nil {
		return list, err
	}
	if !hasVersion {
		return list, fmt.Errorf("%w: endpoint list without seq", ErrMalformed)
	}
	return list, nil
}

// endpoint reads one worker. One without a name or a known state is an error.
func (s *scanner) endpoint() (e Endpoint) {
	s.object(func(key string) {
		switch key {
		case "host":
			e.ID = s.string()
		case "dial":
			e.Address = s.string()
		case "site":
			e.Zone = s.string()
		case "class":
			e.Kind = s.string()
		case "block":
			e.Cell = int(s.number())
		case "health":
			e.State = s.string()
		case "born_ms":
			e.StartedAtMillis = s.number()
		default:
			s.skip()
		}
	})
	known := e.State == Ready || e.State == Terminating || e.State == Gone
	if s.err == nil && (e.ID == "" || !known) {
		s.fail("endpoint without name or known state")
	}
	return e
}
