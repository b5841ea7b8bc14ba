package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// recorder is a service that records calls of Start and Stop.
type recorder struct {
	name  string
	calls *[]string
	err   error
}

func (r *recorder) Start(context.Context) error {
	*r.calls = append(*r.calls, "start "+r.name)
	return r.err
}

func (r *recorder) Stop(context.Context) error {
	*r.calls = append(*r.calls, "stop "+r.name)
	return nil
}

func TestStartStopOrder(t *testing.T) {
	is := is.New(t)
	var calls []string
	var k Kernel
	is.NoErr(k.Register("a", &recorder{name: "a", calls: &calls}))
	is.NoErr(k.Register("b", &recorder{name: "b", calls: &calls}))
	is.NoErr(k.Register("c", &recorder{name: "c", calls: &calls, err: errors.New("no")}))
	is.True(k.Register("a", &recorder{}) != nil) // names are unique
	is.True(k.Start(t.Context()) != nil)
	is.Equal(calls, []string{"start a", "start b", "start c", "stop b", "stop a"})

	_, err := Lookup[*recorder](&k, "b")
	is.NoErr(err)
	_, err = Lookup[*recorder](&k, "d")
	is.True(err != nil)
}
