package protocol

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLoadReportsAreParsed(t *testing.T) {
	for _, text := range []string{`[3,0.5]`, `{"other":1,"busy":0.5,"rif":3}`} {
		t.Run(text, func(t *testing.T) {
			values, err := ParseLoadReport([]byte(text), []string{"rif", "busy"})
			assert.NoError(t, err)
			assert.Equal(t, []float64{3, 0.5}, values)
		})
	}
}

func TestMalformedLoadReportsAreRejected(t *testing.T) {
	for _, text := range []string{`[3]`, `[3,4,5]`, `{"rif":3}`, `{"rif":"x","busy":1}`, ""} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseLoadReport([]byte(text), []string{"rif", "busy"})
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}
