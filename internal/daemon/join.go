package daemon

import (
	"context"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// joinInterval is the time between two rounds of calls to the peers in the
// settings, and the timeout of each call.
const joinInterval = 300 * time.Millisecond

// A joiner fetches the members of the fleet from the peers in the settings, and
// has the follower fetch the configuration, until the daemon has one.
type joiner struct {
	daemon     *Daemon
	detector   *peer.Detector
	follower   *conf.Follower
	goroutines kernel.Group
}

// Start starts to call the peers. It returns an error if a service is missing.
func (j *joiner) Start(ctx context.Context) error {
	var err error
	if j.detector, err = kernel.Lookup[*peer.Detector](&j.daemon.kernel, serviceMembers); err != nil {
		return err
	}
	if j.follower, err = kernel.Lookup[*conf.Follower](&j.daemon.kernel, serviceConf); err != nil {
		return err
	}
	ctx = j.goroutines.Begin(ctx, 1)
	go j.loop(ctx)
	return nil
}

// Stop stops calling the peers and waits for the current call. It returns nil.
func (j *joiner) Stop(context.Context) error {
	j.goroutines.Stop()
	return nil
}

// loop calls all peers in rounds until the daemon has a configuration, or ctx ends.
func (j *joiner) loop(ctx context.Context) {
	defer j.goroutines.Done()
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for {
		for _, address := range j.daemon.Settings.Peers {
			j.joinFrom(ctx, address)
		}
		if j.follower.Config.Revision() > 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// joinFrom merges the member table of one peer. If the peer's configuration is
// newer, it tells the follower. Errors are ignored, as the next round calls again.
func (j *joiner) joinFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	d := j.daemon
	resp, err := d.fleetClient(address).Members(ctx, &wire.MembersRequest{})
	if err != nil {
		return
	}
	j.detector.MergeTable(peer.Decode(resp.Members))
	if resp.Revision > j.follower.Config.Revision() {
		j.follower.AddHint(resp.Identity, resp.Revision)
	}
}
