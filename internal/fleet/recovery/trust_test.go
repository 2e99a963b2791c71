package recovery

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTrustDependsOnAgeClockAndOutage(t *testing.T) {
	for _, c := range []struct {
		name   string
		fact   Fact
		age    time.Duration
		outage Outage
		want   bool
	}{
		{"young capacity", FactCapacity, time.Hour, FleetWide, true},
		{"old capacity", FactCapacity, 25 * time.Hour, FleetWide, false},
		{"capacity written in the future", FactCapacity, -time.Minute, FleetWide, false},
		{"young backoffs of one dispatcher", FactBackoffs, time.Second, ThisDispatcherOnly, true},
		{"young backoffs after a fleet-wide outage", FactBackoffs, time.Second, FleetWide, false},
		{"old backoffs", FactBackoffs, time.Minute, ThisDispatcherOnly, false},
		{"old quotas", FactQuotas, 2 * time.Minute, Partial, false},
		{"an endpoint list of any age", FactEndpoints, 1000 * time.Hour, FleetWide, true},
		{"non-idempotent requests", FactNonIdempotent, 0, ThisDispatcherOnly, false},
		{"sends during warm-up", FactWarmupSends, 0, ThisDispatcherOnly, false},
		{"a manual drain of any age", FactManualDrain, 1000 * time.Hour, FleetWide, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			age := NewRecordAge(10_000_000, 10_000_000+c.age.Milliseconds())
			err := CheckTrust(c.fact, age, c.outage)
			assert.Equal(t, c.want, err == nil, "%v", err)
			if err != nil {
				assert.NotEmpty(t, err.Error())
			}
		})
	}
}

// TestRecoveryPageMatchesTables checks that docs/recovery.md has one row for each fact and each phase, in the order of
// the code.
func TestRecoveryPageMatchesTables(t *testing.T) {
	page, err := os.ReadFile("../../../docs/recovery.md")
	assert.NoError(t, err)
	var rows []string
	for _, rule := range TrustRules {
		rows = append(rows, "\n| "+rule.Name+" | ")
	}
	for phase := range phaseRules {
		rows = append(rows, "\n| `"+Phase(phase).String()+"` | ")
	}
	rest := string(page)
	for _, row := range rows {
		_, after, found := strings.Cut(rest, row)
		assert.True(t, found, "row %q missing or out of order", row)
		if found {
			rest = after
		}
	}
}

func TestTrustRulesAreCompleteAndInOrder(t *testing.T) {
	for position, rule := range TrustRules {
		assert.Equal(t, Fact(position), rule.Fact)
		for _, text := range []string{rule.Name, rule.Stored, rule.CheckedWith, rule.Default, rule.IfWrong} {
			assert.NotEmpty(t, text, rule.Name)
		}
	}
}
