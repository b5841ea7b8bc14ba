package testbed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/object"
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
