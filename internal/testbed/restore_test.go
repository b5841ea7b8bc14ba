package testbed

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/store"
)

// TestRestoredObjectAPI guards against daemons that ignore changes after the object API
// has come back from an older copy and gives out revisions again.
func TestRestoredObjectAPI(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, sys *System) {
		is := is.NewRelaxed(t) // so that the system is stopped after a failure
		runLoad(t, sys, 5*time.Second)
		u := sys.upstream("planner", 1, 2, "kumasi")
		old := sys.Store.Copy()
		for i := range 5 {
			_, err := sys.SetLabel(t.Context(), "upstream/"+u.Address, "rack", fmt.Sprint("r", i))
			is.NoErr(err)
		}
		time.Sleep(3 * time.Second)
		sys.Store.Restore(old)
		b := startLoad(t, sys, 40)
		time.Sleep(time.Second)
		_, err := sys.SetLabel(t.Context(), "upstream/"+u.Address, object.KeyState, object.StateOut)
		is.NoErr(err)
		accepted := time.Now()
		time.Sleep(20 * time.Second)
		stats := b.stop()
		is.Equal(stats.Wrong+stats.Refused+stats.Failed, 0)
		is.True(u.Stats().LastArrival.Sub(accepted) < outDelay) // no requests after it is out of rotation
	})
}

// TestWriteAcrossRestore guards against a conditional write that meets another state of
// its object than it was made for: the restored object API has given out the revision
// again.
func TestWriteAcrossRestore(t *testing.T) {
	runSystem(t, 1, func(t *testing.T, sys *System) {
		is := is.NewRelaxed(t)
		ctx := t.Context()
		target := "upstream/" + sys.upstream("planner", 1, 2, "kumasi").Address
		old := sys.Store.Copy()
		before, err := sys.SetLabel(ctx, target, "rack", "before")
		is.NoErr(err)
		read, err := sys.Editor.Store.Get(ctx, object.KindLabel, target)
		is.NoErr(err)
		is.Equal(read.Revision, before)
		sys.Store.Restore(old)
		after, err := sys.SetLabel(ctx, target, "rack", "after")
		is.NoErr(err)
		is.Equal(feed.Revision(after).Number(), feed.Revision(before).Number()) // given out again
		is.True(after > before)
		_, err = sys.Editor.Store.Put(ctx, read)
		is.True(errors.Is(err, store.ErrConflict))
		read, err = sys.Editor.Store.Get(ctx, object.KindLabel, target)
		is.NoErr(err)
		is.Equal(read.Revision, after)
		_, err = sys.Editor.Store.Changes(ctx, object.ConfigKinds, before, 10, 0)
		is.True(errors.Is(err, store.ErrRestored))
	})
}
