// Package tomlconfig decodes TOML files that are written by hand. An unknown key is an error, and each error gives its
// position in the file. The packages that use the files validate the values.
package tomlconfig

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ErrUnknownKey is returned for a key that does not exist in the decoded type.
var ErrUnknownKey = errors.New("unknown key")

// Decode decodes a TOML text into the value that v points to. path is the path of the file and is used in errors only:
// each error starts with the path, the line and, if known, the column. Errors wrap ErrUnknownKey, or a
// *toml.DecodeError for other faults.
func Decode(path string, text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%s:%d: %w %s", path, line, ErrUnknownKey, formatKey(first.Key()))
	case errors.As(err, &malformed):
		line, column := malformed.Position()
		return fmt.Errorf("%s:%d:%d: %s: %w", path, line, column, formatKey(malformed.Key()), err)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// formatKey formats a key as it is written in a file, such as limit.requests.
func formatKey(key toml.Key) string { return strings.Join(key, ".") }
