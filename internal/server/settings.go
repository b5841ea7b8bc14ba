package server

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzedoor.dev/bronzedoor/internal/change"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/intake"
	"bronzedoor.dev/bronzedoor/internal/mirror"
	"bronzedoor.dev/bronzedoor/internal/proxy"
	"bronzedoor.dev/bronzedoor/internal/roster"
)

// Settings configure a daemon.
type Settings struct {
	Name        string // unique in the fleet
	Domain      string // failure domain
	Region      string
	CallerAddr  string        // listen address for callers: IP address and port
	ReadyAddr   string        // listen address of the readiness endpoint
	PeerAddr    string        // listen address for other daemons
	MetricsAddr string        // listen address of the metrics endpoint; empty for none
	MemoryLimit int64         // bytes that the process may use; 0 for no limit
	MaxFiles    int           // descriptors that the process may open; 0 for the limit that the kernel sets
	Lease       time.Duration // time after which a member record that is not renewed expires; 0 for the default

	// Reload changes the following ones while the daemon runs.

	Seeds       []string      // addresses of some peers, for a start while the store is unavailable
	GracePeriod time.Duration // time that Drain may take
	DrainTime   time.Duration // how long upstreams go on serving after they have left; 0 for the default
	Bounds      proxy.Limits  // limits that the whole fleet shares
}

// Reload puts changed settings in force, as far as a running daemon can change them. It
// logs the changes, and as an error those that are not in force before a restart.
// A drain that has begun goes on with the grace period that was in force before.
func (d *Daemon) Reload(s *Settings, changes []change.Change) {
	d.apply(s)
	d.notInForce.Set(float64(change.Log(d.Log, s.Name, changes)))
	d.reloads.WithLabelValues("applied").Inc()
}

// RejectSettings logs why changed settings are not put in force. The last valid ones stay
// in force.
func (d *Daemon) RejectSettings(err error) {
	d.reloads.WithLabelValues("rejected").Inc()
	d.Log.Emit(event.SettingsInvalid, event.Fields{Step: "reload", Err: err})
}

// registerSettingsMetrics creates the metrics of reloads.
func (d *Daemon) registerSettingsMetrics(r prometheus.Registerer) {
	d.reloads = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedoor_settings_reloads_total",
		Help: "Reads of changed settings, by result.",
	}, []string{"result"})
	d.notInForce = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "bronzedoor_settings_not_in_force",
		Help: "Settings whose changed value is not in force before a restart.",
	})
	r.MustRegister(d.reloads, d.notInForce)
}

// maxFiles returns how many descriptors the process may open; 0 for no limit.
func (s *Settings) maxFiles() int {
	if s.MaxFiles > 0 {
		return s.MaxFiles
	}
	return intake.MaxFiles()
}

// registerCallerMetrics creates the metrics of callers' connections.
func (d *Daemon) registerCallerMetrics(r prometheus.Registerer) {
	d.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedoor_callers_refused_total",
		Help: "Callers that were refused before their request was complete, by reason.",
	}, []string{"reason"})
	r.MustRegister(d.refused)
}

// noteRefused counts and logs that a caller was refused.
func (d *Daemon) noteRefused(r intake.Refusal, peer net.Addr) {
	d.refused.WithLabelValues(r.Reason).Inc()
	d.Log.Emit(event.CallerRefused, event.Fields{Step: "read", Peer: peer.String(), Detail: r.Reason})
}

// GracePeriod returns the grace period in force.
func (d *Daemon) GracePeriod() time.Duration {
	return time.Duration(d.gracePeriod.Load())
}

// DrainTime returns the drain time of upstreams in force.
func (d *Daemon) DrainTime() time.Duration {
	return d.roster.DrainTime()
}

// RedecodeUpstreams decodes all registrations of upstreams again. It is to be called when
// settings have changed that Source.Upstreams.Decode depends on.
func (d *Daemon) RedecodeUpstreams() {
	for _, t := range d.mirror.Topics {
		if t.Name == serviceRoster {
			t.Reapply()
		}
	}
}

// apply puts those settings in force that can change while the daemon runs.
func (d *Daemon) apply(s *Settings) {
	d.gracePeriod.Store(int64(s.GracePeriod))
	d.Flow.SetLimits(s.Bounds)
	drainTime := s.DrainTime
	if drainTime <= 0 {
		drainTime = roster.DefaultDrainTime
	}
	d.roster.SetDrainTime(drainTime)
	d.Flow.SetDrainTime(drainTime)
	var seeds []mirror.Member
	for _, a := range s.Seeds {
		if a != d.Settings.PeerAddr {
			seeds = append(seeds, mirror.Member{Address: a})
		}
	}
	d.fleet.SetSeeds(seeds)
}
