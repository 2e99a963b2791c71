package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// Socket is one that is handed over.
type Socket struct {
	Name string
	Conn syscall.Conn
}

// Listener is the side of a process that serves: it waits for a successor.
type Listener struct {
	Rendezvous Rendezvous
	Sockets    func() []Socket
	Snapshot   func() any
	// Meet is called with each successor that has been handed everything; it returns at the link's end, which
	// it has to bring about when ctx ends.
	Serve      func(ctx context.Context, l *Link)
	IsStopping func() bool // this process ends: whoever has the place keeps it
	Log        zerolog.Logger
}

// Run waits for successors until ctx ends, one at a time: one that fails to start leaves the place to the
// next. Where no socket can be had, a later process starts without this one's help: that is logged, and is no
// fault.
func (h *Listener) Run(ctx context.Context) error {
	for ctx.Err() == nil && !h.IsStopping() {
		ln, err := h.Rendezvous.listen() // anew where a successor that died had taken the place
		if err != nil {
			h.Log.Warn().Err(err).Msg("hot restart unavailable")
			return nil
		}
		h.host(ctx, ln)
	}
	return nil
}

// host meets successors one after the other, for as long as they find this listener at the place.
func (h *Listener) host(ctx context.Context, ln *net.UnixListener) {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	defer ln.Close()
	ours := h.Rendezvous.stat()
	for same := true; same; same = os.SameFile(ours, h.Rendezvous.stat()) {
		c, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.Log.Warn().Err(err).Msg("successor accept failed")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if err := h.meet(ctx, c); err != nil {
			h.Log.Warn().Err(err).Msg("successor rejected")
		}
		c.Close()
	}
}

func (h *Listener) meet(ctx context.Context, c *net.UnixConn) error {
	if !ours(c) {
		return fmt.Errorf("%w: another user's", ErrVersionMismatch)
	}
	l := newLink(c)
	c.SetReadDeadline(time.Now().Add(meetWithin))
	m, _, err := l.receive()
	if err != nil {
		return err
	}
	if m.Version != version {
		return fmt.Errorf("%w: version %d", ErrVersionMismatch, m.Version)
	}
	c.SetReadDeadline(time.Time{})
	legacy, err := encoded(h.Snapshot())
	if err != nil {
		return err
	}
	if err := l.send(message{Version: version, Legacy: legacy}, h.Sockets()...); err != nil {
		return err
	}
	h.Serve(ctx, l)
	return nil
}

// Handover is what a process has from its predecessor.
type Handover struct {
	Link     *Link
	Sockets  map[string]*os.File
	Snapshot json.RawMessage
}

// Connect looks for a predecessor. It returns nil with no error where there is none.
func Connect(p Rendezvous) (*Handover, error) {
	c, err := p.dial()
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // nobody, or what a killed one left
	}
	if err != nil {
		return nil, fmt.Errorf("meeting place: %w", err)
	}
	heir, err := knock(c)
	if err != nil {
		c.Close()
		return nil, err
	}
	return heir, nil
}

func knock(c *net.UnixConn) (*Handover, error) {
	if !ours(c) {
		return nil, fmt.Errorf("%w: another user's", ErrVersionMismatch)
	}
	c.SetReadDeadline(time.Now().Add(meetWithin))
	l := newLink(c)
	if err := l.send(message{Version: version}); err != nil {
		return nil, err
	}
	m, files, err := l.receive()
	if err == nil && m.Version != version {
		err = fmt.Errorf("%w: version %d", ErrVersionMismatch, m.Version)
	}
	if err != nil {
		for _, f := range files {
			f.Close()
		}
		return nil, err
	}
	c.SetReadDeadline(time.Time{})
	return &Handover{Link: l, Snapshot: m.Legacy, Sockets: files}, nil
}
