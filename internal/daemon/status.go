package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/entry"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kernel"
)

// A Status is a daemon's report to operators.
type Status struct {
	Identity      string         `json:"identity"`
	Domain        string         `json:"domain"`
	Revision      uint64         `json:"rev"`    // of the configuration in force
	Blocks        []string       `json:"blocks"` // blocks that the daemon owns, each CELL/INDEX
	Members       []MemberStatus `json:"members"`
	Unserved      []string       `json:"unserved"` // services without a snapshot that can be served
	Rejected      []string       `json:"refused"`  // objects whose newest revision is not in force, each with its first fault
	BytesSent     uint64         `json:"out"`      // in heartbeats
	BytesReceived uint64         `json:"in"`       // in heartbeats
	Events        []event.Record `json:"events"`   // recent events, oldest first
}

// A MemberStatus is a member of the fleet as known to the reporting daemon.
type MemberStatus struct {
	Identity string `json:"identity"`
	Domain   string `json:"domain"`
	State    string `json:"state"`  // up, leaving or down
	Blocks   int    `json:"blocks"` // number of blocks that the member owns
}

// Status returns the daemon's status.
func (d *Daemon) Status() Status {
	s := Status{
		Identity:      d.identity,
		Domain:        d.Settings.Domain,
		Revision:      d.blockManager.AppliedRevision(),
		Blocks:        []string{},
		Unserved:      []string{},
		Rejected:      []string{},
		BytesSent:     d.heartbeats.bytesSent.Load(),
		BytesReceived: d.heartbeats.bytesReceived.Load(),
		Events:        d.Log.Recent(),
	}
	for _, b := range d.blockManager.Owned() {
		s.Blocks = append(s.Blocks, b.Cell+"/"+strconv.Itoa(b.Index))
	}
	for _, m := range d.detector.Members() {
		state := "up"
		switch {
		case m.Down:
			state = "down"
		case m.Leaving:
			state = "leaving"
		}
		s.Members = append(s.Members, MemberStatus{Identity: m.Identity, Domain: m.Domain, State: state, Blocks: len(m.Blocks)})
	}
	v := d.config.View()
	for i := range v.Services {
		if _, ok := d.entry.Versions.Snapshot(&v.Services[i]); !ok {
			s.Unserved = append(s.Unserved, v.Services[i].Name)
		}
	}
	for _, r := range d.config.Rejected() {
		s.Rejected = append(s.Rejected, string(r.Kind)+" "+r.Name+": "+r.Faults[0].String())
	}
	return s
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.Status())
}

// Interval and size of the sweeps that remove expired claims.
const (
	sweepInterval = 10 * time.Minute
	sweepLimit    = 100 // most claims removed in one sweep
)

// A sweeper removes expired claims. Only the daemon that ranks first sweeps.
type sweeper struct {
	daemon     *Daemon
	entry      *entry.Entry
	goroutines kernel.Group
}

// Start starts the sweeps. It returns an error if the entry is missing.
func (s *sweeper) Start(ctx context.Context) error {
	var err error
	if s.entry, err = kernel.Lookup[*entry.Entry](&s.daemon.kernel, serviceEntry); err != nil {
		return err
	}
	ctx = s.goroutines.Begin(ctx, 1)
	go s.loop(ctx)
	return nil
}

// Stop ends the sweeps and waits for the current one. It returns nil.
func (s *sweeper) Stop(context.Context) error {
	s.goroutines.Stop()
	return nil
}

// loop sweeps every sweepInterval until ctx ends, if this daemon ranks first.
func (s *sweeper) loop(ctx context.Context) {
	defer s.goroutines.Done()
	for delay.Sleep(ctx, sweepInterval) {
		if s.daemon.rank() > 0 {
			continue
		}
		n, err := s.entry.Claims.Sweep(ctx, sweepLimit, time.Now())
		if n > 0 || err != nil {
			s.daemon.Log.Emit(event.ClaimsExpired, event.Fields{Step: "sweep", Err: err, Detail: strconv.Itoa(n)})
		}
	}
}
