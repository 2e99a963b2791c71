// Package tomlconfig reads TOML files that people write: a key that is not known is a fault, and each fault is told with
// its place.
package tomlconfig

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads a text into v. The error names the file, and the line and the key.
func Decode(path string, text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		e := unknown.Errors[0]
		line, _ := e.Position()
		return fmt.Errorf("%s:%d: unknown key %s", path, line, strings.Join(e.Key(), "."))
	case errors.As(err, &wrong):
		line, column := wrong.Position()
		return fmt.Errorf("%s:%d:%d: %s: %w", path, line, column, strings.Join(wrong.Key(), "."), err)
	}
	return fmt.Errorf("%s: %w", path, err)
}
