package protocol

import "fmt"

// ParseLoad returns the values of a worker's load report in the order of names. The report is a JSON array in that
// order, or an object with the names as keys. It returns ErrMalformed if a value is missing.
func ParseLoad(b []byte, names []string) ([]float64, error) {
	scan := scanner{input: b}
	values := make([]float64, len(names))
	found := 0
	if scan.peek() == '[' {
		scan.array(func() {
			value := scan.number()
			if found < len(values) {
				values[found] = value
			}
			found++
		})
	} else {
		scan.object(func(key string) {
			for n, name := range names {
				if key == name {
					values[n] = scan.number()
					found++
					return
				}
			}
			scan.skip()
		})
	}
	if err := scan.finish(); err != nil {
		return nil, err
	}
	if found != len(names) {
		return nil, fmt.Errorf("%w: load report with %d of %d values", ErrMalformed, found, len(names))
	}
	return values, nil
}
