package client

import (
	"testing"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/quota"
)

// TestExtraConns guards against connections to upstreams that use up a process's descriptors:
// above the limit of all pools together each has one.
func TestExtraConns(t *testing.T) {
	is := is.New(t)
	extra := &quota.Quota{Max: 1}
	var pools []*Pool
	for range 2 {
		p := newPool(t, &scriptedUpstream{})
		p.Extra = extra
		pools = append(pools, p)
	}
	var conns []*conn
	for _, p := range append(pools, pools[0]) {
		c, err := p.get(t.Context(), false)
		is.NoErr(err)
		conns = append(conns, c)
	}
	for _, p := range pools {
		_, err := p.get(t.Context(), false)
		is.Equal(err, ErrBusy)
	}
	is.Equal(pools[0].MaxInFlight(), 2)
	is.Equal(pools[1].MaxInFlight(), 1)
	pools[0].put(conns[0], false) // there is room for another one
	is.Equal(pools[1].MaxInFlight(), 2)
	_, err := pools[1].get(t.Context(), false)
	is.NoErr(err)
	_, err = pools[0].get(t.Context(), false)
	is.Equal(err, ErrBusy)
	pools[0].put(conns[2], false)
	is.Equal(extra.Used(), int64(1))
	pools[1].put(conns[1], false)
	is.Equal(extra.Used(), int64(0))
}
