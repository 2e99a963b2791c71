package balancer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// jsonRoundTrip returns v as another process decodes it from JSON.
func jsonRoundTrip[T any](t *testing.T, v T) (out T) {
	t.Helper()
	encoded, err := json.Marshal(v)
	assert.NoError(t, err)
	assert.NoError(t, json.Unmarshal(encoded, &out))
	return out
}

// Regression test for a request that was executed twice, or not retried, after it was migrated to another process.
func TestMigratedRequestKeepsItsConfigurationAndAttempts(t *testing.T) {
	for _, c := range []struct {
		operation OperationID
		want      Action // after the connection of its attempt was reset
	}{
		{operation: idempotentOp, want: SendAttempt},
		{operation: nonIdempotentOp, want: RespondFailed},
	} {
		old, _ := newTestPicker(namedConfig(), 4)
		next, _ := newTestPicker(Config{
			Dispatchers: 2,
			Kinds:       1,
			Attempts: AttemptConfig{
				Max: 4,
			},
			LoadReports: LoadReportConfig{
				InFlight:  NotReported,
				Queue:     NotReported,
				FreeSlots: NotReported,
			},
			Quotas: QuotaConfig{
				Tenants: namedConfig().Quotas.Tenants,
			},
			Operations: namedConfig().Operations[3:4],
		}, 4)
		handle := old.Submit(Arrival{Operation: c.operation, Timeout: 3 * Second})
		first := pick(t, handle)
		_, ok := handle.Export(0)
		assert.False(t, ok, "one attempt is in flight, not zero")
		migrated, ok := handle.Export(1)
		assert.True(t, ok)
		assert.Equal(t, RespondElsewhere, pick(t, handle).Action)
		assert.Equal(t, 0, old.OpenRequests())
		assert.Empty(t, old.LoadsForSibling(Successor))
		assert.False(t, handle.ReportOutcome(first.Attempt, Succeeded), "the other process reports it")
		_, ok = handle.Export(0)
		assert.False(t, ok, "a request is exported once")

		imported, contexts := next.Import(jsonRoundTrip(t, migrated))
		assert.Equal(t, []WorkerLoad{{first.Worker, 1}}, next.LoadsForSibling(Predecessor))
		assert.NoError(t, contexts[0].Err())
		imported.ReportOutcome(0, ConnectionReset)
		got := pick(t, imported)
		assert.Equal(t, c.want, got.Action, "the exported operation is not configured in this process")
		if got.Action == SendAttempt {
			assert.Equal(t, 1, got.Attempt)
			imported.ReportOutcome(1, Succeeded)
			pick(t, imported)
		}
		assert.Equal(t, 0, next.OpenRequests())
	}
}

// Regression test for an operation that had a different ID at one shard than at the others after a configuration
// change, so that requests there were treated as those of another operation.
func TestAllShardsAssignTheSameIDToMigratedOperation(t *testing.T) {
	now := Time(100 * Second)
	s := NewShards(namedConfig(), 2, 1, func() Time { return now }, func(Event) {})
	s.Import(MigratedRequest{Name: "foreign", Idempotency: NonIdempotent, Deadline: time.Now().Add(time.Second)})
	config := namedConfig()
	config.Operations = append(config.Operations, OperationConfig{Name: "fresh", LatencyObjective: Second, Kind: AnyKind})
	numbers := s.Reconfigure(config).Operations
	for _, picker := range s.pickers {
		assert.Equal(t, "fresh", picker.balancer.operations.byID[numbers[len(numbers)-1]].name)
	}
}

func TestPendingRequestIsMigrated(t *testing.T) {
	old, _ := newTestPicker(namedConfig(), 0)
	migrated, ok := old.Submit(Arrival{Timeout: 3 * Second}).Export(0)
	assert.True(t, ok)
	next, _ := newTestPicker(namedConfig(), 1)
	handle, _ := next.Import(jsonRoundTrip(t, migrated))
	next.update(func(*Balancer) {})
	assert.Equal(t, SendAttempt, pick(t, handle).Action)
	assert.InDelta(t, 3, time.Until(handle.deadline).Seconds(), 0.5)
}
