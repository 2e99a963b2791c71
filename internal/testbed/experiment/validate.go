package experiment

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"canvasroute/internal/testbed/baseline"
	"canvasroute/internal/testbed/fault"
	"canvasroute/internal/testbed/workload"
)

// Limits of an experiment on one machine.
const (
	maxDispatchers = 32
	maxWorkers     = 1024
	maxListeners   = 8192 // listeners of all workers; each worker has one for each dispatcher
	maxDuration    = 6 * time.Hour

	maxCores         = 64 // of a dispatcher
	minMemoryMB      = 16 // of a dispatcher
	minSockets       = 64 // of a dispatcher
	maxAttemptsLimit = 64 // per request
)

// validate checks the constraints on keys that the decoder does not check. The error begins with the key.
func (p *Plan) validate() error {
	for _, check := range []func() error{
		p.validateDispatchers, p.validateFleet, p.validateOperations, p.validateTenants, p.validateLoad, p.validateFaults,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateDispatchers checks the keys of [dispatchers].
func (p *Plan) validateDispatchers() error {
	d := &p.Dispatchers
	policies := append([]string{Canvasroute}, baseline.Policies...)
	switch {
	case d.Count < 1 || d.Count > maxDispatchers:
		return fmt.Errorf("dispatchers.count: %d, must be from 1 to %d", d.Count, maxDispatchers)
	case !slices.Contains(policies, d.Policy):
		return fmt.Errorf("dispatchers.policy: %q, must be one of %q", d.Policy, policies)
	case d.Fault != "" && (d.Policy == Canvasroute || !slices.Contains(baseline.Faults, d.Fault)):
		return fmt.Errorf("dispatchers.fault: %q, must be one of %q, with a baseline's policy", d.Fault,
			baseline.Faults)
	case !(d.Cores > 0 && d.Cores <= maxCores):
		return fmt.Errorf("dispatchers.cores: %v, must be above 0 and at most %d", d.Cores, maxCores)
	case d.MemoryMB < minMemoryMB || d.Sockets < minSockets:
		return fmt.Errorf("dispatchers.memory-mb: must be at least %d, and sockets at least %d", minMemoryMB, minSockets)
	case !(d.PeerLoss >= 0 && d.PeerLoss <= 1):
		return fmt.Errorf("dispatchers.peer-loss: %v, must be from 0 to 1", d.PeerLoss)
	case d.MaxAttempts < 1 || d.MaxAttempts > maxAttemptsLimit:
		return fmt.Errorf("dispatchers.max-attempts: %d, must be from 1 to %d", d.MaxAttempts, maxAttemptsLimit)
	}
	return nil
}

// validateFleet checks the keys of [fleet].
func (p *Plan) validateFleet() error {
	f := &p.Fleet
	switch {
	case len(f.Zones) == 0:
		return errors.New("fleet.zones: must name at least one")
	case f.CellSize < 1:
		return fmt.Errorf("fleet.cell-size: %d, must be at least 1", f.CellSize)
	case !(f.InitialShare > 0 && f.InitialShare <= 1) || !(f.OverloadMultiple >= 0):
		return errors.New("fleet.warmup-initial-share: must be above 0 and at most 1, and overload-multiple not negative")
	}
	workers := 0
	for n, kind := range f.Kinds {
		hasValidSize := kind.Cores >= 1 && kind.Count >= 1 && kind.Queue >= 0
		if kind.Name == "" || !hasValidSize {
			return fmt.Errorf("fleet.kind[%d]: must have a name, cores and a count from 1, and a queue from 0", n)
		}
		workers += kind.Count
	}
	if workers < 1 || workers > maxWorkers || workers*p.Dispatchers.Count > maxListeners {
		return fmt.Errorf("fleet.kind: %d workers for %d dispatchers, must be from 1 to %d, and times the "+
			"dispatchers at most %d", workers, p.Dispatchers.Count, maxWorkers, maxListeners)
	}
	return nil
}

// validateOperations checks the keys of [[operation]].
func (p *Plan) validateOperations() error {
	if len(p.Operations) == 0 {
		return errors.New("operation: there must be at least one")
	}
	names := map[string]bool{}
	for n := range p.Operations {
		operation := &p.Operations[n]
		if err := operation.Validate(); err != nil {
			return fmt.Errorf("operation[%d].%w", n, err)
		}
		if names[operation.Name] {
			return fmt.Errorf("operation[%d].name: %q is defined twice", n, operation.Name)
		}
		names[operation.Name] = true
	}
	return nil
}

// validateTenants checks the keys of [[tenants]].
func (p *Plan) validateTenants() error {
	for n, tenant := range p.Tenants {
		if tenant.Name == "" || !(tenant.Share > 0) || !(tenant.Quota >= 0) {
			return fmt.Errorf("tenants[%d]: must have a name, a share above 0 and a quota from 0", n)
		}
	}
	return nil
}

// validateLoad checks the load. It reads the trace, or computes the segments that the schedule is generated from.
func (p *Plan) validateLoad() (err error) {
	p.workloadPlan = &workload.Plan{Operations: p.Operations, Tenants: p.Tenants}
	switch {
	case p.Load.Retries < 0 || p.Load.MaxOpen < 1:
		return errors.New("load.retries: must not be negative, and max-open at least 1")
	case p.Load.Trace != "" && len(p.Load.Phases) > 0:
		return errors.New("load.trace: cannot be combined with phases")
	case p.Load.Trace != "":
		p.trace, err = p.readTrace()
	case len(p.Load.Phases) == 0:
		return errors.New("load.phase: there must be at least one, or a trace")
	default:
		p.workloadPlan.Segments, err = workload.Segments(p.Load.Phases)
	}
	if err != nil {
		return err
	}
	if duration := p.Duration(); duration > maxDuration {
		return fmt.Errorf("load: lasts %v, must be at most %v", duration, maxDuration)
	}
	return nil
}

// validateFaults checks the faults by planning their timeline for the plan's seed.
func (p *Plan) validateFaults() (err error) {
	if p.timeline, err = fault.Plan(p.Faults, p.topology(), p.Seed); err != nil {
		return err
	}
	if p.trace != nil && len(p.timeline.ExtraLoads) > 0 {
		return errors.New("fault: burst and flood need phases, as a trace has no rate")
	}
	return nil
}
