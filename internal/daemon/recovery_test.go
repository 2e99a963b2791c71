package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet"
	"canvasroute/internal/fleet/store"
	"canvasroute/internal/peertest"
)

// Without LB_FLEET no fleet node may be created, and therefore no file, listener or goroutine of one.
func TestNoNodeIsCreatedWithoutFleetFile(t *testing.T) {
	c, err := parseConfig([]byte(testConfiguration), fakeEnv())
	assert.NoError(t, err)
	assert.Nil(t, c.Fleet)
	node, err := newNode(c, nil, false, nopLog)
	assert.NoError(t, err)
	assert.Nil(t, node)
	assert.Nil(t, c.Proxy.Recovery)
	assert.Empty(t, (&adminHandler{}).node)
}

const testFleetFile = `[state]
folder = "/tmp/canvasroute-state"
[link]
listen = "127.0.0.1:7950"
[[member]]
name = "n3"
address = "127.0.0.1:7950"
[[member]]
name = "n4"
address = "127.0.0.2:7950"
`

func TestInvalidFleetFileIsRejectedWithLocation(t *testing.T) {
	dir := t.TempDir()
	config := writeFile(t, filepath.Join(dir, "config.json"), testConfiguration)
	read := func(text string) error {
		fleetPath := writeFile(t, filepath.Join(dir, "fleet.toml"), text)
		_, err := ReadConfig(fakeEnv("LB_CONFIG", config, "LB_FLEET", fleetPath))
		return err
	}
	assert.NoError(t, read(testFleetFile))
	for _, c := range []struct{ name, old, invalid, want string }{
		{"relative folder", `folder = "/tmp`, `folder = "tmp`, "state.folder"},
		{"unknown key", `folder =`, `folders =`, "fleet.toml:2: unknown key"},
		{"interval of zero", `[link]`, "every = \"0s\"\n[link]", "state.every: 0s, must be from 1ms"},
		{"interval without a unit", `[link]`, "every = 7\n[link]", "state.every: 7ns"},
		{"listen", `listen = "127.0.0.1:7950"`, `listen = "here"`, `link.listen: "here"`},
		{"repeated name", `name = "n4"`, `name = "n3"`, `member[1].name: "n3" is already the name of member[0]`},
		{
			"another position's name", `name = "n3"`, `name = "n9"`,
			`member[0].name: "n9", but the dispatcher at that position is "n3"`,
		},
		{
			"repeated address", `address = "127.0.0.2:7950"`, `address = "127.0.0.1:7950"`,
			"member[1].address: 127.0.0.1:7950 is already the address of member[0]",
		},
		{"member missing", "[[member]]\nname = \"n4\"\naddress = \"127.0.0.2:7950\"\n", "", "member: 1 entries, but settings.balancers is 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Contains(t, testFleetFile, c.old)
			assert.ErrorContains(t, read(strings.Replace(testFleetFile, c.old, c.invalid, 1)), c.want)
		})
	}
	_, err := ReadConfig(fakeEnv("LB_CONFIG", config, "LB_FLEET", filepath.Join(dir, "none")))
	assert.ErrorContains(t, err, "LB_FLEET")
}

// If two processes on one machine have the same name, the second one must neither write nor serve.
func TestSecondProcessOfTheSameNameIsRejected(t *testing.T) {
	dir := t.TempDir()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer socket.Close()
	text := strings.NewReplacer("/tmp/canvasroute-state", filepath.Join(dir, "state"), `"127.0.0.1:7950"`,
		`"`+socket.LocalAddr().String()+`"`, "[[member]]\nname = \"n3\"", "[recovery]\nidentity-within = \"50ms\"\n"+
			"ask-every = \"10ms\"\n[[member]]\nname = \"n3\"").Replace(testFleetFile)
	fleetPath := writeFile(t, filepath.Join(dir, "fleet.toml"), text)
	config := writeFile(t, filepath.Join(dir, "config.json"), testConfiguration)
	c, err := ReadConfig(fakeEnv("LB_CONFIG", config, "LB_FLEET", fleetPath))
	assert.NoError(t, err)
	_, err = newNode(c, nil, false, nopLog)
	assert.ErrorContains(t, err, `another process uses the dispatcher name "n3"`, "the address is in use")
	socket.Close()
	folder, err := store.OpenFolder(filepath.Join(dir, "state"))
	assert.NoError(t, err)
	_, err = newNode(c, nil, false, nopLog)
	assert.ErrorIs(t, err, store.ErrLocked)
	assert.NoError(t, folder.Close())
	node, err := newNode(c, nil, false, nopLog)
	assert.NoError(t, err)
	assert.ErrorContains(t, node.Ready(), "identity")
}

// readTestFleet returns the settings of a fleet with a single dispatcher, a temporary state folder and short timeouts.
func readTestFleet(t *testing.T, config Config) *fleet.Settings {
	t.Helper()
	dir := t.TempDir()
	address := peertest.UnusedPacketAddress(t)
	text := fmt.Sprintf(`[state]
folder = %q
[link]
listen = %q
[recovery]
list-within = "50ms"
others-within = "50ms"
trickle-within = "50ms"
ask-every = "10ms"
[[member]]
name = %q
address = %q
`, filepath.Join(dir, "state"), address, config.Name, address)
	settings, err := fleet.Read(writeFile(t, filepath.Join(dir, "fleet.toml"), text), config.Name, 0, 1)
	assert.NoError(t, err)
	return settings
}

// readStoredDrain reports whether the state folder of a dispatcher says that an operator has drained it.
func readStoredDrain(t *testing.T, config Config) bool {
	t.Helper()
	var stdout, stderr bytes.Buffer
	RunCommand([]string{"state", "show", config.Fleet.State.Folder, "--json"}, &stdout, &stderr)
	var summary stateSummary
	assert.NoError(t, json.Unmarshal(stdout.Bytes(), &summary), stderr.String())
	return summary.Drained
}

func TestStateShowReportsContentAndTruncatedFile(t *testing.T) {
	path := t.TempDir()
	folder, err := store.OpenFolder(path)
	assert.NoError(t, err)
	opened, _ := store.Open(folder, "n3")
	_, err = opened.Begin(store.BeginOptions{MinNumber: 7, Nonce: 9, At: time.Now().UnixMilli()})
	assert.NoError(t, err)
	assert.NoError(t, opened.MarkDrained())
	assert.NoError(t, opened.AppendKeys([]store.Key{{Sum: 1}}, time.Now().UnixMilli()))
	assert.NoError(t, opened.SaveState(store.State{
		WrittenAt: time.Now().UnixMilli(), SettingsHash: "abc",
		Learned: []byte(`{"Version":41,"Kinds":["m"],"Learnt":[{"Kinds":[{"Slots":3,"Most":3}]}]}`),
	}))
	var stdout, stderr bytes.Buffer
	assert.Equal(t, 0, RunCommand([]string{"state", "show", path}, &stdout, &stderr))
	for _, want := range []string{
		`dispatcher "n3", life 7`, "told to leave by hand", "settings abc: list 41",
		"bears m: 3 at once", "keys that may have run: 1",
	} {
		assert.Contains(t, stdout.String(), want)
	}
	assert.NoError(t, os.Truncate(filepath.Join(path, "facts.b"), 20))
	stdout.Reset()
	assert.Equal(t, 1, RunCommand([]string{"state", "show", path, "--json"}, &stdout, &stderr))
	var summary stateSummary
	assert.NoError(t, json.Unmarshal(stdout.Bytes(), &summary))
	assert.Len(t, summary.Rejected, 1)
	assert.Contains(t, summary.Rejected[0], "facts.b: torn")
	assert.Equal(t, 1, RunCommand([]string{"state", "show", filepath.Join(path, "none")}, &stdout, &stderr))
}
