package proxy

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against bounds on the length of a list: one line with many workers, then a change to each.
func TestWatchTakesAListOfManyWorkers(t *testing.T) {
	const many = 1024
	line := func(seq int, whole bool, health string) string {
		var hosts []string
		for n := range many {
			hosts = append(hosts, fmt.Sprintf(`{"host":"s-%06d","dial":"127.1.%d.%d:8080","site":"a","class":"m","block":%d,`+
				`"health":%q,"share":1.0,"born_ms":0}`, n, n/256, n%256, n/4, health))
		}
		return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
	}
	r, _ := watched(t, chunked(line(8, true, "Ready"), line(9, false, "Terminating"))+last, false)
	assert.Equal(t, int64(9), r.fleet.listVersion())
	version, entries := r.Endpoints()
	assert.Equal(t, int64(9), version)
	assert.Len(t, entries, many+1, "and the one that was known before")
	tags := map[uint16]int{}
	for w := range entries {
		tags[r.fleet.workers[w].tag]++
	}
	assert.Greater(t, len(tags), many-32, "names that share a tag are few")
}
