package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestMetricNamesInDump checks the names and the order of the metrics in the response to DUMP, which operators rely on.
func TestMetricNamesInDump(t *testing.T) {
	node, _ := newNodeOnHungDisk(t)
	defer func() { assert.NoError(t, node.owned.socket.Close()) }()
	var names []string
	for _, metric := range node.Metrics() {
		assert.Empty(t, metric.Operation)
		names = append(names, metric.Name)
	}
	assert.Equal(t, []string{
		"return_phase", "return_case", "return_phase_ms", "return_life", "return_answered",
		"return_silent", "return_turned_away", "state_trusted", "state_dropped", "state_writes", "state_failures",
		"keys_kept", "keys_unkept", "keys_before", "keys_open", "keys_held", "keys_barred", "link_sent", "link_bytes",
		"link_heard", "link_malformed", "link_strangers",
	}, names)
}

// TestReadSetsEachKeyOfTheFleetFile checks that each key of the fleet file is read, using values other than the
// defaults.
func TestReadSetsEachKeyOfTheFleetFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	assert.NoError(t, os.WriteFile(path, []byte(`
[state]
folder = "/var/lib/other"
every = "7s"
doubt-disk = true
[link]
listen = "10.0.0.1:7950"
[recovery]
identity-within = "11ms"
list-within = "12ms"
others-within = "13ms"
trickle-within = "14ms"
ask-every = "15ms"
keep-within = "16ms"
[[member]]
name = "n0"
address = "10.0.0.1:7950"
[[member]]
name = "n1"
address = "10.0.0.2:7950"
`), 0o600))
	read, err := Read(path, "n0", 0, 2)
	assert.NoError(t, err)
	want := &Settings{Members: []Member{{Name: "n0", Address: "10.0.0.1:7950"}, {Name: "n1", Address: "10.0.0.2:7950"}}}
	want.State.Folder, want.State.Interval, want.State.UnreliableDisk = "/var/lib/other", Duration(7*time.Second), true
	want.Link.Listen = "10.0.0.1:7950"
	r := &want.Recovery
	r.IdentityTimeout, r.EndpointsTimeout, r.PeersTimeout = ms(11), ms(12), ms(13)
	r.ProbeTimeout, r.QueryInterval, r.KeyTimeout = ms(14), ms(15), ms(16)
	want.ownAddress, want.memberAddresses = read.ownAddress, read.memberAddresses // derived from the fields above
	assert.Equal(t, want, read)
}

// TestDeployedFleetFileMatchesDefaults checks that the example in deploy has no unknown key and sets the same values as
// the defaults.
func TestDeployedFleetFileMatchesDefaults(t *testing.T) {
	const example = "../../deploy/fleet.toml"
	read, err := Read(example, "n1", 1, 2)
	assert.NoError(t, err)
	assert.Equal(t, "/var/lib/canvasroute", read.State.Folder)
	minimal := filepath.Join(t.TempDir(), "fleet.toml")
	assert.NoError(t, os.WriteFile(minimal, []byte("state.folder = \"/var/lib/canvasroute\"\nlink.listen = \"10.0.0.1:7950\"\n"+
		"member = [{name = \"n0\", address = \"10.0.0.1:7950\"}, {name = \"n1\", address = \"10.0.0.2:7950\"}]\n"), 0o600))
	defaults, err := Read(minimal, "n1", 1, 2)
	assert.NoError(t, err)
	assert.Equal(t, defaults, read, "the example must set the default values")
}

// ms returns a duration in milliseconds.
func ms(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
