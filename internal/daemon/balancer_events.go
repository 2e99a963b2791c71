package daemon

import (
	"github.com/rs/zerolog"

	"canvasroute/internal/balancer"
)

// logBalancerEvent logs a balancer event as a constant message with the event's values as log fields. An event type
// without a case of its own is logged as the text of its String method.
func logBalancerEvent(log zerolog.Logger, event balancer.Event) {
	switch e := event.(type) {
	case balancer.WorkerEjected:
		log.Warn().Int32("worker", int32(e.Worker)).Int("consecutive_failures", e.ConsecutiveFailures).Msg("worker ejected")
	case balancer.ZoneEjected:
		log.Warn().Int32("zone", int32(e.Zone)).Int("consecutive_failures", e.ConsecutiveFailures).Msg("zone ejected")
	case balancer.ConfigurationApplied:
		log.Warn().Int("operations", e.Operations).Int("max_attempts", e.MaxAttempts).Msg("configuration applied")
	default:
		log.Warn().Msg(event.String())
	}
}
