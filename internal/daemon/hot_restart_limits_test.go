package daemon

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestConnectionShares(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want connectionShare
	}{
		{"half rounds down", connectionShare{601, 363}.half(), connectionShare{300, 181}},
		{"midpoint of open and all connections", connectionShare{100, 60}.midpoint(connectionShare{600, 360}), connectionShare{350, 210}},
		{"shrinks to the open ones plus one to workers", connectionShare{350, 210}.shrinkTo(connectionShare{90, 50}), connectionShare{90, 51}},
		{"does not grow", connectionShare{90, 51}.shrinkTo(connectionShare{120, 80}), connectionShare{90, 51}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, c.got) })
	}
}
