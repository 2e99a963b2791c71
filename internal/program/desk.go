package program

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/drain"
	"canvasroute/internal/fleet"
	"canvasroute/internal/operate"
	"canvasroute/internal/protocol"
	"canvasroute/internal/routing"
)

const (
	callLeave = string(protocol.CommandLeave)
	callJoin  = string(protocol.CommandJoin)
)

// desk does what operators ask at their door.
type desk struct {
	router            *routing.Router
	drain             *drain.State
	handover          *handover
	node              *fleet.Node // nil where it is off
	log               zerolog.Logger
	applied, rejected atomic.Int64 // configurations read anew
}

// open opens the door at an address, none if that is "".
func (d *desk) open(addr string) (*operate.Door, error) {
	if addr == "" {
		return nil, nil
	}
	return operate.Listen(addr, d, d.log)
}

func (d *desk) Health() error { return d.router.Ready() }

// Leave empties the dispatcher. What is called here while a successor serves is meant for that one.
func (d *desk) Leave() error {
	if passed, err := d.handover.pass(callLeave); passed {
		return err
	}
	d.drain.Leave(time.Now())
	return d.holds(true)
}

// holds makes a call hold after an end of this process too, where there is a place to keep it.
func (d *desk) holds(left bool) error {
	if d.node == nil {
		return nil
	}
	return d.node.Leave(left)
}

func (d *desk) Join() error {
	if d.drain.At(time.Now()).Ends() {
		return drain.ErrEnding
	}
	if passed, err := d.handover.pass(callJoin); passed {
		return err
	}
	if err := d.drain.Join(time.Now()); err != nil {
		return err
	}
	return d.holds(false)
}

func (d *desk) Figures() []protocol.Metric {
	figures := d.router.Figures()
	if d.node != nil {
		figures = append(figures, d.node.Figures()...)
	}
	return append(figures,
		protocol.Metric{Name: "sighup_applied", Value: d.applied.Load()},
		protocol.Metric{Name: "sighup_rejected", Value: d.rejected.Load()})
}
