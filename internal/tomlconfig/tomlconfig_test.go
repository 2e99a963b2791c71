package tomlconfig

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
)

// testFile is the decoded form of a file with one table.
type testFile struct {
	Name  string
	Limit struct{ Requests int }
}

func TestDecodeReadsTablesAndValues(t *testing.T) {
	var file testFile
	assert.NoError(t, Decode("test.toml", []byte("name = \"n3\"\n[limit]\nrequests = 7\n"), &file))
	want := testFile{Name: "n3"}
	want.Limit.Requests = 7
	assert.Equal(t, want, file)
}

func TestDecodeErrorsNameTheirPosition(t *testing.T) {
	t.Run("unknown key", func(t *testing.T) {
		err := Decode("test.toml", []byte("name = \"n3\"\n[limit]\nrequest = 7\n"), &testFile{})
		assert.ErrorIs(t, err, ErrUnknownKey)
		assert.EqualError(t, err, "test.toml:3: unknown key limit.request")
	})
	for _, c := range []struct{ name, text, want string }{
		{"value of another type", "[limit]\nrequests = \"many\"\n", "test.toml:2:12: limit.requests: "},
		{"not TOML", "name = \n", "test.toml:1:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := Decode("test.toml", []byte(c.text), &testFile{})
			var decodeError *toml.DecodeError
			assert.ErrorAs(t, err, &decodeError)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
