package tier

import (
	"context"
	"fmt"
	"maps"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/mirror"
	"bronzedoor.dev/bronzedoor/internal/pace"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// applyRoutes takes in a routing table. The version never goes back.
func (t *Tier) applyRoutes(changes []decoded[*route.Table]) {
	for _, c := range changes {
		old := t.table.Load()
		if c.Gone || c.bad || c.value == nil || old != nil && c.value.Version < old.Version {
			continue
		}
		t.table.Store(c.value)
		t.Flow.Configure(c.value)
		t.Log.Emit(event.TableTaken, event.Fields{
			Step:   "routes",
			Detail: fmt.Sprintf("version %d, revision %d, %d routes", c.value.Version, c.Revision, len(c.value.Routes)),
		})
	}
}

// applyRoster takes in registrations.
func (t *Tier) applyRoster(changes []decoded[roster.Upstream]) {
	var changed []roster.Upstream
	var removed []string
	for _, c := range changes {
		if c.Gone || c.bad {
			removed = append(removed, c.Name)
			continue
		}
		changed = append(changed, c.value)
	}
	t.roster.Update(changed, removed, time.Now())
	t.known.Store(true)
	if len(changes) > 0 {
		t.Log.Emit(event.RosterChanged, event.Fields{
			Step:   "roster",
			Detail: fmt.Sprintf("%d changed, %d removed, first %s at revision %d", len(changed), len(removed), changes[0].Name, changes[0].Revision),
		})
	}
}

// lapsed notes that registrations may be missing only because the store was away.
func (t *Tier) lapsed() {
	t.roster.StartGrace(time.Now())
}

// applyDomains takes in the failure domains that get no work.
func (t *Tier) applyDomains(changes []decoded[string]) {
	for _, c := range changes {
		if c.Gone {
			delete(t.out, c.Name)
			continue
		}
		t.out[c.Name] = true
	}
	t.roster.SetExcluded(maps.Clone(t.out))
	if len(changes) > 0 {
		t.Log.Emit(event.RosterChanged, event.Fields{Step: "domains", Detail: fmt.Sprintf("out: %v", t.out)})
	}
}

// applyMembers takes in the daemons of the fleet.
func (t *Tier) applyMembers(changes []decoded[mirror.Member]) {
	before := maps.Clone(t.members)
	t.reaper.note(changes)
	for _, c := range changes {
		if c.Gone || c.bad {
			delete(t.members, c.Name)
			continue
		}
		t.members[c.Name] = c.value
	}
	if len(before) > 0 && maps.Equal(before, t.members) {
		// Records were renewed, or are none of a daemon.
		return
	}
	t.fleet.Set(maps.Clone(t.members))
	t.Flow.Reshare()
	t.Log.Emit(event.MembersKnown, event.Fields{
		Step:   "members",
		Detail: fmt.Sprintf("%d daemons, %d of the region read before", t.fleet.Size(), t.fleet.Rank()),
	})
}

// An expirer drops upstreams whose registration did not come back.
type expirer struct {
	tier *Tier
}

// expireEvery is the time between two looks for upstreams that are gone.
const expireEvery = 200 * time.Millisecond

// loop looks for them until ctx ends.
func (e *expirer) loop(ctx context.Context) {
	for pace.Sleep(ctx, expireEvery) {
		e.tier.roster.Expire(time.Now())
	}
}
