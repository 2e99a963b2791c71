package protocol

import (
	"fmt"
	"strconv"
)

// EndpointList is a list of workers from the discovery service, or a change to the last list.
type EndpointList struct {
	Version   int64
	Complete  bool // the list replaces the last one; otherwise it holds only the changed endpoints
	Endpoints []Endpoint
}

// Endpoint is one worker in an endpoint list. The JSON form is used for stored data, not by the discovery service.
type Endpoint struct {
	ID              string  `json:"ID"`
	Address         string  `json:"Address"` // IP address and port
	Zone            string  `json:"Zone"`
	Kind            string  `json:"Kind"`
	Cell            int     `json:"Cell"`
	State           string  `json:"State"`  // Ready, Terminating or Gone
	StartedAtMillis float64 `json:"BornMs"` // start time of the worker process in Unix milliseconds; 0 if long ago
}

// WatchTarget returns the request target that watches for changes after a version.
func WatchTarget(version int64) string {
	return PathEndpoints + "?" + queryWatch + "=1&" + queryVersion + "=" + strconv.FormatInt(version, 10)
}

// ParseEndpointList parses an endpoint list, or one line of a watch, which hold a JSON object. Unknown keys are
// ignored. If it returns ErrMalformed, the list holds the endpoints before the error.
func ParseEndpointList(b []byte) (list EndpointList, err error) {
	s := jsonScanner{input: b}
	hasVersion := false
	s.object(func(key string) {
		switch key {
		case keyListVersion:
			hasVersion = true
			list.Version = int64(s.number())
		case keyListComplete:
			list.Complete = s.bool()
		case keyEndpoints:
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
		return list, fmt.Errorf("%w: endpoint list without %s", ErrMalformed, keyListVersion)
	}
	return list, nil
}

// endpoint reads one worker. The ID and a known state are required.
func (s *jsonScanner) endpoint() (e Endpoint) {
	s.object(func(key string) {
		switch key {
		case keyEndpointID:
			e.ID = s.string()
		case keyEndpointAddr:
			e.Address = s.string()
		case keyEndpointZone:
			e.Zone = s.string()
		case keyEndpointKind:
			e.Kind = s.string()
		case keyEndpointCell:
			e.Cell = int(s.number())
		case keyEndpointState:
			e.State = s.string()
		case keyEndpointStart:
			e.StartedAtMillis = s.number()
		default:
			s.skip()
		}
	})
	isKnownState := e.State == Ready || e.State == Terminating || e.State == Gone
	if s.err == nil && (e.ID == "" || !isKnownState) {
		s.fail("endpoint without name or known state")
	}
	return e
}
