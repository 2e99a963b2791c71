package experiment

import (
	"context"
	"fmt"
	"time"

	"canvasroute/internal/fleet/store"
)

// What a dispatcher with a state has to keep through a loss of power, whatever the clock says when it is back.

// shiftClock makes a dispatcher's clock one that jumped by so much while its power was away: all times that it had written
// are that much further back, or ahead. It guards against ages reckoned by a clock that cannot be believed.
func shiftClock(folder, name string, by time.Duration) error {
	disk, err := store.OpenFolder(folder)
	if err != nil || disk.ReadOnly() {
		return err
	}
	defer func() { _ = disk.Close() }() // it was only read
	_, found := store.Open(disk, name)
	if !found.Known || found.Foreign {
		return nil
	}
	names, err := disk.Names()
	if err != nil {
		return err
	}
	for _, file := range names {
		if err := disk.Remove(file); err != nil {
			return err
		}
	}
	ms := by.Milliseconds()
	s, _ := store.Open(disk, name)
	incarnation := found.Incarnation
	start := store.Start{
		MinNumber:   incarnation.Number,
		Nonce:       incarnation.Nonce,
		KeysSuspect: found.KeysSuspect,
		At:          incarnation.StartedAt - ms,
	}
	if _, err := s.Begin(start); err != nil {
		return err
	}
	for n := range found.Keys {
		found.Keys[n].SentAt -= ms
		found.Keys[n].ExpiresAt -= ms
	}
	if err := s.AppendKeys(found.Keys, time.Now().UnixMilli()); err != nil {
		return err
	}
	if found.State != nil {
		found.State.WrittenAt -= ms
		if err := s.SaveState(*found.State); err != nil {
			return err
		}
	}
	return s.SetDrained(incarnation.Drained)
}

// drainCheckInterval is how often a dispatcher that was told to leave is asked whether it takes clients.
const drainCheckInterval = 20 * time.Millisecond

// watchDrained watches a dispatcher that came back while an operator's LEAVE holds: until JOIN it takes no client.
func (w *environment) watchDrained(ctx context.Context, n int) {
	p := w.process(n)
	for ctx.Err() == nil && p.running() && w.drainedBefore(n) {
		// What was asked before JOIN is answered before it: the order of the two answers tells.
		if answer, err := callAdmin(p.operatorsAddr, "HEALTH"); err == nil && answer == answerDone && w.drainedBefore(n) {
			w.recordFailure(fmt.Errorf("%s takes clients again, though an operator had told it to leave", dispatcherName(n)))
			return
		}
		time.Sleep(drainCheckInterval)
	}
}

// drainedBefore tells whether an operator's last word to a dispatcher was LEAVE.
func (w *environment) drainedBefore(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drainedByOperator[n]
}
