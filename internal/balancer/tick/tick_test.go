package tick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDurationsConvertToTheStandardLibraryAndBack(t *testing.T) {
	assert.Equal(t, 250*time.Microsecond, (Duration(2)+DurationOf(59*time.Microsecond)).Standard()+50*time.Microsecond)
	assert.Equal(t, Duration(Second), DurationOf(time.Second))
	assert.Equal(t, time.Millisecond, Millisecond.Standard())
}

func TestTimeArithmeticAndRatio(t *testing.T) {
	assert.Equal(t, Time(7), Time(5).Add(2))
	assert.Equal(t, Duration(-2), Time(5).Sub(7))
	assert.Equal(t, Duration(7), Ratio{Numerator: 4, Denominator: 5}.Of(9), "rounded down")
}
