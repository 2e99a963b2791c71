package daemon

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"canvasroute/internal/fleet/store"
)

// Guards against parts that exist without operators' word: no file, no listener, no goroutine more.
func TestWithoutOperatorsFileThereIsNoNode(t *testing.T) {
	p, err := parse([]byte(configuration), environment())
	assert.NoError(t, err)
	assert.Nil(t, p.Fleet)
	node, err := p.node(nil, false, nop)
	assert.NoError(t, err)
	assert.Nil(t, node)
	assert.Nil(t, p.Proxy.Recovery)
	assert.Empty(t, (&adminHandler{}).node)
}

var nop = zerolog.Nop()

const fleetFile = `[state]
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

func TestBadFleetFileIsRefusedWithItsPlace(t *testing.T) {
	dir := t.TempDir()
	config, own := filepath.Join(dir, "config.json"), filepath.Join(dir, "fleet.toml")
	assert.NoError(t, os.WriteFile(config, []byte(configuration), 0o600))
	read := func(text string) error {
		assert.NoError(t, os.WriteFile(own, []byte(text), 0o600))
		_, err := ReadConfig(environment("LB_CONFIG", config, "LB_FLEET", own))
		return err
	}
	assert.NoError(t, read(fleetFile))
	for _, c := range []struct{ old, with, want string }{
		{`folder = "/tmp`, `folder = "tmp`, "state.folder"},
		{`folder =`, `folders =`, "fleet.toml:2: unknown key"},
		{`[link]`, "every = \"0s\"\n[link]", "state.every: 0s, must be from 1ms"},
		{`[link]`, "every = 7\n[link]", "state.every: 7ns"},
		{`listen = "127.0.0.1:7950"`, `listen = "here"`, `link.listen: "here"`},
		{`name = "n4"`, `name = "n3"`, `member[1].name: "n3" is that of member[0] too`},
		{`name = "n3"`, `name = "n9"`, `member[0].name: "n9", the dispatcher at that position is "n3"`},
		{`address = "127.0.0.2:7950"`, `address = "127.0.0.1:7950"`, "member[1].address: 127.0.0.1:7950 is that"},
		{"[[member]]\nname = \"n4\"\naddress = \"127.0.0.2:7950\"\n", "", "member: 1 of them, settings.balancers says 2"},
	} {
		assert.Contains(t, fleetFile, c.old)
		assert.ErrorContains(t, read(strings.Replace(fleetFile, c.old, c.with, 1)), c.want)
	}
	_, err := ReadConfig(environment("LB_CONFIG", config, "LB_FLEET", filepath.Join(dir, "none")))
	assert.ErrorContains(t, err, "LB_FLEET")
}

// Guards against two that go under one name on one machine: the second neither writes nor serves.
func TestSecondProcessUnderOneNameIsRefused(t *testing.T) {
	_, err := parse([]byte(configuration), environment())
	assert.NoError(t, err)
	dir := t.TempDir()
	own := filepath.Join(dir, "fleet.toml")
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer pc.Close()
	text := strings.NewReplacer("/tmp/canvasroute-state", filepath.Join(dir, "state"), `"127.0.0.1:7950"`,
		`"`+pc.LocalAddr().String()+`"`, "[[member]]\nname = \"n3\"", "[recovery]\nidentity-within = \"50ms\"\n"+
			"ask-every = \"10ms\"\n[[member]]\nname = \"n3\"").Replace(fleetFile)
	assert.NoError(t, os.WriteFile(own, []byte(text), 0o600))
	config := filepath.Join(dir, "config.json")
	assert.NoError(t, os.WriteFile(config, []byte(configuration), 0o600))
	p, err := ReadConfig(environment("LB_CONFIG", config, "LB_FLEET", own))
	assert.NoError(t, err)
	_, err = p.node(nil, false, nop)
	assert.ErrorContains(t, err, `two that go under the name "n3"`, "the address is taken")
	pc.Close()
	folder, err := store.OpenFolder(filepath.Join(dir, "state"))
	assert.NoError(t, err)
	_, err = p.node(nil, false, nop)
	assert.ErrorIs(t, err, store.ErrLocked)
	assert.NoError(t, folder.Close())
	node, err := p.node(nil, false, nop)
	assert.NoError(t, err)
	assert.ErrorContains(t, node.Ready(), "identity")
}

func TestStateShowTellsWhatAFolderHoldsAndWhatIsNotBelieved(t *testing.T) {
	path := t.TempDir()
	folder, err := store.OpenFolder(path)
	assert.NoError(t, err)
	s, _ := store.Open(folder, "n3")
	_, err = s.Begin(store.Start{MinNumber: 7, Nonce: 9, At: time.Now().UnixMilli()})
	assert.NoError(t, err)
	assert.NoError(t, s.SetDrained(true))
	assert.NoError(t, s.AppendKeys([]store.Key{{Sum: 1}}, time.Now().UnixMilli()))
	assert.NoError(t, s.SaveState(store.State{
		WrittenAt: time.Now().UnixMilli(), SettingsHash: "abc",
		Learned: []byte(`{"Version":41,"Kinds":["m"],"Learnt":[{"Kinds":[{"Slots":3,"Most":3}]}]}`),
	}))
	var out, wrong bytes.Buffer
	assert.Equal(t, 0, RunCommand([]string{"state", "show", path}, &out, &wrong))
	for _, want := range []string{
		`dispatcher "n3", life 7`, "told to leave by hand", "settings abc: list 41",
		"bears m: 3 at once", "keys that may have run: 1",
	} {
		assert.Contains(t, out.String(), want)
	}
	assert.NoError(t, os.Truncate(filepath.Join(path, "facts.b"), 20))
	out.Reset()
	assert.Equal(t, 1, RunCommand([]string{"state", "show", path, "--json"}, &out, &wrong))
	var got shown
	assert.NoError(t, json.Unmarshal(out.Bytes(), &got))
	assert.Len(t, got.Lost, 1)
	assert.Contains(t, got.Lost[0], "facts.b: torn")
	assert.Equal(t, 1, RunCommand([]string{"state", "show", filepath.Join(path, "none")}, &out, &wrong))
}
