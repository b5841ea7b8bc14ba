package server

import (
	"context"
	"fmt"
	"maps"
	"time"

	"bronzedoor.dev/bronzedoor/internal/boot"
	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/intake"
	"bronzedoor.dev/bronzedoor/internal/mirror"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// applyRoutes puts a changed routing table in force. A removal, a table that can't
// be decoded and a version lower than the current one are ignored.
func (d *Daemon) applyRoutes(changes []decoded[*route.Table], _ time.Time) {
	for _, c := range changes {
		old := d.table.Load()
		if c.Deleted || c.invalid || c.value == nil || old != nil && c.value.Version < old.Version {
			continue
		}
		// In this order: a request that finds the daemon configured finds the table.
		d.Flow.SetTable(c.value)
		d.table.Store(c.value)
		if n := c.value.Limits.MaxHeaderBytes; n > intake.MaxHeaderBytes {
			d.Log.Emit(event.SettingNotInForce, event.Fields{Step: "routes", Class: "MaxHeaderBytes", Detail: fmt.Sprintf("version %d: %d, at most %d are read", c.value.Version, n, intake.MaxHeaderBytes)})
		}
		d.startup.Reach(boot.Routes)
		d.Log.Emit(event.TableApplied, event.Fields{
			Step:   "routes",
			Detail: fmt.Sprintf("version %d, revision %v, %d routes", c.value.Version, c.Revision, len(c.value.Routes)),
		})
	}
}

// applyRoster applies registrations of upstreams that have changed after since. One that
// can't be decoded counts as removed.
func (d *Daemon) applyRoster(changes []decoded[roster.Upstream], since time.Time) {
	var changed []roster.Upstream
	var removed []string
	for _, c := range changes {
		if c.Deleted || c.invalid {
			removed = append(removed, c.Name)
			continue
		}
		changed = append(changed, c.value)
	}
	d.roster.Update(changed, removed, since, time.Now())
	d.rosterRead.Store(true)
	d.startup.Reach(boot.Upstreams)
	if len(changes) > 0 {
		d.Log.Emit(event.UpstreamsChanged, event.Fields{
			Step:   "roster",
			Detail: fmt.Sprintf("%d changed, %d removed, first %s at revision %v", len(changed), len(removed), changes[0].Name, changes[0].Revision),
		})
	}
}

// storeRecovered tells the roster that the store was unavailable until now:
// registrations may be missing only because they could not be renewed.
func (d *Daemon) storeRecovered() {
	d.roster.StartGrace(time.Now())
}

// storeRestored tells the roster that the store has come back from an older copy.
func (d *Daemon) storeRestored() {
	d.roster.StartRestore(time.Now())
}

// applyDomains applies changes to the failure domains out of rotation.
func (d *Daemon) applyDomains(changes []decoded[string], _ time.Time) {
	for _, c := range changes {
		if c.Deleted {
			delete(d.excluded, c.Name)
			continue
		}
		d.excluded[c.Name] = true
	}
	d.roster.SetExcluded(d.excluded, time.Now())
	if len(changes) > 0 {
		d.Log.Emit(event.UpstreamsChanged, event.Fields{Step: "domains", Detail: fmt.Sprintf("out of rotation: %v", d.excluded)})
	}
}

// applyMembers applies changed member records. When the set of daemons changes,
// so does this daemon's share of the limits.
func (d *Daemon) applyMembers(changes []decoded[mirror.Member], _ time.Time) {
	before := maps.Clone(d.members)
	d.reaper.observe(changes)
	for _, c := range changes {
		if c.Deleted || c.invalid {
			delete(d.members, c.Name)
			continue
		}
		d.members[c.Name] = c.value
	}
	if len(before) > 0 && maps.Equal(before, d.members) {
		// Records were only renewed, or could not be decoded.
		return
	}
	d.fleet.Set(maps.Clone(d.members))
	d.startup.Reach(boot.Members)
	d.membership.observe(!d.fleet.SelfMissing() && d.fleet.Known(), time.Now())
	d.Flow.UpdateShare()
	d.Log.Emit(event.MembersChanged, event.Fields{
		Step:   "members",
		Detail: fmt.Sprintf("%d daemons, %d ahead of this one in the read order", d.fleet.Size(), d.fleet.Rank()),
	})
}

// An expirer removes upstreams whose registration disappeared and did not come
// back within the roster's grace time.
type expirer struct {
	daemon *Daemon
}

// expireInterval is the time between two checks for expired upstreams.
const expireInterval = 200 * time.Millisecond

// loop checks for expired upstreams until ctx ends.
func (e *expirer) loop(ctx context.Context) {
	for delay.Sleep(ctx, expireInterval) {
		e.daemon.roster.Expire(time.Now())
	}
}
