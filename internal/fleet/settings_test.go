package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestInvalidSettingErrorNamesTheKey(t *testing.T) {
	const valid = `
[state]
folder = "/var/lib/canvasroute"
[link]
listen = "10.0.0.1:7950"
[[member]]
name = "n0"
address = "10.0.0.1:7950"
[[member]]
name = "n1"
address = "10.0.0.2:7950"
`
	for _, c := range []struct {
		name, old, with string
		wantKey         string
	}{
		{"a relative folder", `"/var/lib/canvasroute"`, `"state"`, "state.folder"},
		{"an interval that is too short", "[link]", "every = \"1us\"\n[link]", "state.every"},
		{"a timeout that is too long", "[link]", "[recovery]\nlist-within = \"2h\"\n[link]", "recovery.list-within"},
		{"an address without a port", `listen = "10.0.0.1:7950"`, `listen = "10.0.0.1"`, "link.listen"},
		{"a member's address without a port", `address = "10.0.0.2:7950"`, `address = "10.0.0.2"`, "member[1].address"},
		{"a member without a name", `name = "n1"`, `name = ""`, "member[1].name"},
		{"two members of one name", `name = "n1"`, `name = "n0"`, "member[1].name"},
		{"two members of one address", `address = "10.0.0.2:7950"`, `address = "10.0.0.1:7950"`, "member[1].address"},
		{"another dispatcher at the position", `name = "n0"`, `name = "n9"`, "member[0].name"},
		{"a member too few", "[[member]]\nname = \"n1\"\naddress = \"10.0.0.2:7950\"\n", "", "member"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Contains(t, valid, c.old)
			path := filepath.Join(t.TempDir(), "fleet.toml")
			assert.NoError(t, os.WriteFile(path, []byte(strings.Replace(valid, c.old, c.with, 1)), 0o600))
			_, err := Read(path, "n0", 0, 2)
			var setting *SettingError
			assert.ErrorAs(t, err, &setting)
			assert.Equal(t, c.wantKey, setting.Key)
			assert.ErrorContains(t, err, path)
		})
	}
}
