package protocol

import "fmt"

// ParseLoadReport returns the values of a worker's load report in the order of names. The report is a JSON array in
// that order, or an object with the names as keys. It returns ErrMalformed for any other number of
// values.
func ParseLoadReport(b []byte, names []string) ([]float64, error) {
	s := jsonScanner{input: b}
	values := make([]float64, len(names))
	found := 0
	if s.peek() == '[' {
		s.array(func() {
			value := s.number()
			if found < len(values) {
				values[found] = value
			}
			found++
		})
	} else {
		s.object(func(key string) {
			for n, name := range names {
				if key == name {
					values[n] = s.number()
					found++
					return
				}
			}
			s.skip()
		})
	}
	if err := s.finish(); err != nil {
		return nil, err
	}
	if found != len(names) {
		return nil, fmt.Errorf("%w: load report with %d of %d values", ErrMalformed, found, len(names))
	}
	return values, nil
}
