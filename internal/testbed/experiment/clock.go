package experiment

import (
	"time"

	"canvasroute/internal/fleet/store"
)

// What a dispatcher that persists state must keep through a loss of power, also if its clock jumps meanwhile.

// shiftClock simulates a jump of a dispatcher's clock while it has no power. As a process' clock cannot be changed, it
// moves all times on the dispatcher's disk in the opposite direction.
func shiftClock(folder, name string, by time.Duration) error {
	disk, err := store.OpenFolder(folder)
	if err != nil || disk.ReadOnly() {
		return err
	}
	defer func() { _ = disk.Close() }() // every write has returned its error
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
	if !incarnation.Drained {
		return nil
	}
	return s.MarkDrained()
}
