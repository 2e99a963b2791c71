package program

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasroute/internal/drain"
	"canvasroute/internal/operate"
	"canvasroute/internal/protocol"
	"canvasroute/internal/routing"
)

// desk does what operators ask at their door.
type desk struct {
	router            *routing.Router
	drain             *drain.State
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

func (d *desk) Leave() error {
	d.drain.Leave(time.Now())
	d.log.Info().Msg("emptying, as asked")
	return nil
}

func (d *desk) Join() error {
	if err := d.drain.Join(time.Now()); err != nil {
		return err
	}
	d.log.Info().Msg("taking clients again, as asked")
	return nil
}

func (d *desk) Figures() []protocol.Figure {
	return append(d.router.Figures(),
		protocol.Figure{Name: "sighup_applied", Value: d.applied.Load()},
		protocol.Figure{Name: "sighup_rejected", Value: d.rejected.Load()})
}
