package daemon

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/admin"
	"canvasroute/internal/fleet"
	"canvasroute/internal/lifecycle"
	"canvasroute/internal/protocol"
	"canvasroute/internal/proxy"
)

const (
	callLeave = string(protocol.CommandLeave)
	callJoin  = string(protocol.CommandJoin)
)

// adminHandler does what operators ask at their door.
type adminHandler struct {
	router            *proxy.Proxy
	drain             *lifecycle.State
	handover          *handover
	node              *fleet.Node // nil where it is off
	log               zerolog.Logger
	applied, rejected atomic.Int64 // configurations read anew
}

// open opens the door at an address, none if that is "".
func (d *adminHandler) open(addr string) (*admin.Server, error) {
	if addr == "" {
		return nil, nil
	}
	return admin.Listen(addr, d, d.log)
}

func (d *adminHandler) Health() error { return d.router.Ready() }

// Drain empties the dispatcher. What is called here while a successor serves is meant for that one.
func (d *adminHandler) Drain() error {
	if passed, err := d.handover.pass(callLeave); passed {
		return err
	}
	d.drain.Drain(time.Now())
	return d.holds(true)
}

// holds makes a call hold after an end of this process too, where there is a place to keep it.
func (d *adminHandler) holds(left bool) error {
	if d.node == nil {
		return nil
	}
	return d.node.SetDrained(left)
}

func (d *adminHandler) Rejoin() error {
	if d.drain.PhaseAt(time.Now()).IsStopping() {
		return lifecycle.ErrStopping
	}
	if passed, err := d.handover.pass(callJoin); passed {
		return err
	}
	if err := d.drain.Rejoin(time.Now()); err != nil {
		return err
	}
	return d.holds(false)
}

func (d *adminHandler) Metrics() []protocol.Metric {
	figures := d.router.Metrics()
	if d.node != nil {
		figures = append(figures, d.node.Metrics()...)
	}
	return append(figures,
		protocol.Metric{Name: "sighup_applied", Value: d.applied.Load()},
		protocol.Metric{Name: "sighup_rejected", Value: d.rejected.Load()})
}
