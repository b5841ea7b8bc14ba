package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bronzedoor.dev/bronzedoor/internal/entry"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kern"
)

// A Status is what a daemon says to operators.
type Status struct {
	Identity string         `json:"identity"`
	Domain   string         `json:"domain"`
	Revision uint64         `json:"rev"` // configuration in force
	Blocks   []string       `json:"blocks"`
	Members  []MemberStatus `json:"members"`
	Unserved []string       `json:"unserved"` // services of which no snapshot can be served
	Refused  []string       `json:"refused"`  // objects whose newest state is not in force
	Out      uint64         `json:"out"`      // bytes of heartbeats sent
	In       uint64         `json:"in"`       // bytes of heartbeats received
	Events   []event.Record `json:"events"`   // recent ones, oldest first
}

// A MemberStatus is what a daemon knows of another.
type MemberStatus struct {
	Identity string `json:"identity"`
	Domain   string `json:"domain"`
	State    string `json:"state"` // up, leaving or down
	Blocks   int    `json:"blocks"`
}

// Status returns the daemon's status.
func (d *Daemon) Status() Status {
	s := Status{
		Identity: d.identity,
		Domain:   d.Settings.Domain,
		Revision: d.keeper.AppliedRevision(),
		Blocks:   []string{},
		Unserved: []string{},
		Refused:  []string{},
		Out:      d.traffic.out.Load(),
		In:       d.traffic.in.Load(),
		Events:   d.Log.Recent(),
	}
	for _, b := range d.keeper.Owned() {
		s.Blocks = append(s.Blocks, b.Cell+"/"+strconv.Itoa(b.Index))
	}
	for _, m := range d.beater.Members() {
		state := "up"
		switch {
		case m.Down:
			state = "down"
		case m.Leaving:
			state = "leaving"
		}
		s.Members = append(s.Members, MemberStatus{Identity: m.Identity, Domain: m.Domain, State: state, Blocks: len(m.Blocks)})
	}
	v := d.book.View()
	for i := range v.Services {
		if _, ok := d.entry.Versions.Snapshot(&v.Services[i]); !ok {
			s.Unserved = append(s.Unserved, v.Services[i].Name)
		}
	}
	for _, r := range d.book.Rejected() {
		s.Refused = append(s.Refused, string(r.Kind)+" "+r.Name+": "+r.Faults[0].String())
	}
	return s
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.Status())
}

// Times of the sweep of claims.
const (
	sweepEvery = 10 * time.Minute
	sweepSome  = 100 // claims in one sweep
)

// A sweeper removes old claims. One of the watchers does it at a time.
type sweeper struct {
	daemon *Daemon
	entry  *entry.Entry
	duties kern.Group
}

// Start starts the sweeps.
func (s *sweeper) Start(ctx context.Context) error {
	var err error
	if s.entry, err = kern.Lookup[*entry.Entry](&s.daemon.kernel, serviceEntry); err != nil {
		return err
	}
	ctx = s.duties.Begin(ctx, 1)
	go s.loop(ctx)
	return nil
}

// Stop ends the sweeps.
func (s *sweeper) Stop(context.Context) error {
	s.duties.Stop()
	return nil
}

// loop sweeps until ctx ends.
func (s *sweeper) loop(ctx context.Context) {
	defer s.duties.Done()
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !s.daemon.watcher() {
			continue
		}
		n, err := s.entry.Claims.Sweep(ctx, sweepSome, time.Now())
		if n > 0 || err != nil {
			s.daemon.Log.Emit(event.ClaimsExpired, event.Fields{Step: "sweep", Err: err, Detail: strconv.Itoa(n)})
		}
	}
}
