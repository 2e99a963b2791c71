package protocol

import (
	"fmt"
	"strconv"
)

// EndpointList is a list of workers, or changes to one.
type EndpointList struct {
	Version   int64
	Complete  bool
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

// The states that a list can tell.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// ParseEndpointList reads a list or one line of a watch. With an error the entries are those that were whole before
// it.
func ParseEndpointList(b []byte) (l EndpointList, err error) {
	s := scanner{b: b}
	version := false
	s.object(func(key string) {
		switch key {
		case "seq":
			version, l.Version = true, int64(s.number())
		case "whole":
			l.Complete = s.truth()
		case "hosts":
			s.array(func() {
				if e := s.entry(); s.err == nil {
					l.Endpoints = append(l.Endpoints, e)
				}
			})
		default:
			s.skip()
		}
	})
	if err := s.end(); err != nil {
		return l, err
	}
	if !version {
		return l, fmt.Errorf("%w: a list without seq", ErrMalformed)
	}
	return l, nil
}

func (s *scanner) entry() (e Endpoint) {
	s.object(func(key string) {
		switch key {
		case "host":
			e.ID = s.text()
		case "dial":
			e.Address = s.text()
		case "site":
			e.Zone = s.text()
		case "class":
			e.Kind = s.text()
		case "block":
			e.Cell = int(s.number())
		case "health":
			e.State = s.text()
		case "born_ms":
			e.StartedAtMillis = s.number()
		default:
			s.skip()
		}
	})
	known := e.State == Ready || e.State == Terminating || e.State == Gone
	if s.err == nil && (e.ID == "" || !known) {
		s.fail("a worker without name or state")
	}
	return e
}

// WatchTarget is where changes after a version are told.
func WatchTarget(version int64) string {
	return PathEndpoints + "?stream=1&index=" + strconv.FormatInt(version, 10)
}
