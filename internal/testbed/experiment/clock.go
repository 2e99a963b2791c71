package experiment

import (
	"time"

	"canvasroute/internal/fleet/store"
)

// shiftClock simulates a jump of a dispatcher's clock while it has no power. As a process' clock cannot be changed, it
// moves all times on the dispatcher's disk in the opposite direction.
func shiftClock(folder, name string, by time.Duration) error {
	disk, err := store.OpenFolder(folder)
	if err != nil || disk.ReadOnly() {
		return err
	}
	defer func() { _ = disk.Close() }() // every write has returned its error
	_, found := store.Open(disk, name)
	if !found.IncarnationFound || found.Foreign {
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
	shiftMillis := by.Milliseconds()
	state, _ := store.Open(disk, name)
	incarnation := found.Incarnation
	start := store.BeginOptions{
		MinNumber:   incarnation.Number,
		Nonce:       incarnation.Nonce,
		KeysSuspect: found.KeysSuspect,
		At:          incarnation.StartedAt - shiftMillis,
	}
	if _, err := state.Begin(start); err != nil {
		return err
	}
	for n := range found.Keys {
		found.Keys[n].SentAt -= shiftMillis
		found.Keys[n].ExpiresAt -= shiftMillis
	}
	if err := state.AppendKeys(found.Keys, time.Now().UnixMilli()); err != nil {
		return err
	}
	if found.State != nil {
		found.State.WrittenAt -= shiftMillis
		if err := state.SaveState(*found.State); err != nil {
			return err
		}
	}
	if !incarnation.Drained {
		return nil
	}
	return state.MarkDrained()
}
