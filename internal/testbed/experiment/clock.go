package experiment

import (
	"time"

	"canvasroute/internal/fleet/store"
)

// shiftClock simulates a clock jump of a dispatcher that has no power. The clock of a single process cannot be changed,
// so shiftClock shifts all timestamps in the dispatcher's state folder in the opposite direction.
func shiftClock(stateFolder, name string, shift time.Duration) error {
	disk, err := store.OpenFolder(stateFolder)
	if err != nil || disk.ReadOnly() {
		return err
	}
	defer func() { _ = disk.Close() }() // errors were returned by the writes
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
	shiftMillis := shift.Milliseconds()
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
