package change

import (
	"fmt"

	"bronzedoor.dev/bronzedoor/internal/event"
)

// Log logs a reload of the settings of the named process: what it has put in force, and an
// error for each change that needs a restart. It returns the number of the latter.
func Log(log *event.Log, name string, changes []Change) (waiting int) {
	var applied []string
	for _, c := range changes {
		if !c.Restart {
			applied = append(applied, c.String())
			continue
		}
		waiting++
		log.Emit(event.SettingNotInForce, event.Fields{Step: "reload", Class: c.Name, Detail: c.String()})
	}
	log.Emit(event.SettingsReloaded, event.Fields{Step: "reload", Detail: fmt.Sprintf("%s: changed %q, %d need a restart", name, applied, waiting)})
	return waiting
}
