package daemon

import (
	"bronzedoor.dev/bronzedoor/internal/change"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/setup"
)

// InForce returns the settings in force: those of the start, with the later values of the
// settings that a running daemon can change.
func (d *Daemon) InForce() *setup.Settings {
	if s := d.reloaded.Load(); s != nil {
		return s
	}
	return d.Settings
}

// Reload reads a settings file and puts in force what a running daemon can change. It logs
// the changes, and as an error those that need a restart. If the file is not valid, the
// settings in force stay as a whole. Calls must not overlap.
func (d *Daemon) Reload(file string) {
	next, err := setup.Load(file)
	if err != nil {
		d.Log.Emit(event.SettingsInvalid, event.Fields{Step: "reload", Err: err})
		return
	}
	running := d.InForce()
	changes := change.List(running, next)
	change.Keep(running, next)
	d.reloaded.Store(next)
	change.Log(d.Log, d.identity, changes)
}
