package daemon

import (
	"context"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// joinEvery is the time between two tries to learn the fleet from the peers in
// the settings.
const joinEvery = 300 * time.Millisecond

// A joiner learns the fleet and its configuration from the peers in the
// settings, until the daemon has a configuration.
type joiner struct {
	daemon   *Daemon
	members  *peer.Detector
	follower *conf.Follower
	duties   kern.Group
}

// Start starts the tries.
func (j *joiner) Start(ctx context.Context) error {
	var err error
	if j.members, err = kern.Lookup[*peer.Detector](&j.daemon.kernel, serviceMembers); err != nil {
		return err
	}
	if j.follower, err = kern.Lookup[*conf.Follower](&j.daemon.kernel, serviceConf); err != nil {
		return err
	}
	ctx = j.duties.Begin(ctx, 1)
	go j.loop(ctx)
	return nil
}

// Stop ends the tries.
func (j *joiner) Stop(context.Context) error {
	j.duties.Stop()
	return nil
}

// loop asks the peers until one has helped, or ctx ends.
func (j *joiner) loop(ctx context.Context) {
	defer j.duties.Done()
	t := time.NewTicker(joinEvery)
	defer t.Stop()
	for {
		for _, address := range j.daemon.Settings.Peers {
			j.ask(ctx, address)
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

func (j *joiner) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, joinEvery)
	defer cancel()
	d := j.daemon
	re, err := d.fleet(address).Members(ctx, &wire.MembersRequest{})
	if err != nil {
		return
	}
	j.members.MergeTable(peer.Decode(re.Members))
	if re.Revision > j.follower.Config.Revision() {
		j.follower.AddHint(re.Identity, re.Revision)
	}
}
