package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMarkedRepeatAfterAnEndGoesToTheGroupOfTheFirst(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name       string
		again      bool
		dispatcher int // of the repeat; 1 was away from 2 s to 3 s, 0 never
		worker     int // of the repeat; the first went to 0
		at         time.Duration
		broken     bool
	}{
		{"the same group", true, 1, 1, 4 * second, false},
		{"another group", true, 1, 2, 4 * second, true},
		{"not marked", false, 1, 2, 4 * second, false},
		{"after the window", true, 1, 2, 12 * second, false},
		{"at one that was never away", true, 0, 2, 4 * second, false},
	} {
		l := New()
		first := l.Tried("a0", 0, 0, 9*second)
		l.Keyed(first, 7, false)
		l.Received("a0", Forward{Worker: 0, Dispatcher: 0, First: second, Whole: second})
		l.Away(Outage{Dispatcher: 1, From: 2 * second, To: 3 * second})
		repeat := l.Tried("a1", 0, c.dispatcher, 20*second)
		l.Keyed(repeat, 7, c.again)
		l.Received("a1", Forward{Worker: c.worker, Dispatcher: c.dispatcher, First: c.at, Whole: c.at})
		terms := Terms{
			Operations: []Repeat{{Name: "choices", ScopeZone: true, Window: 10 * second}},
			Workers:    []Place{{Zone: 0}, {Zone: 0}, {Zone: 1}}, Keys: true,
		}
		broken := false
		for _, b := range l.Judge(terms) {
			broken = broken || b.Rule == RuleKeys
		}
		assert.Equal(t, c.broken, broken, c.name)
	}
}
