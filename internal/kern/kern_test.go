package kern

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// recorder notes its starts and stops.
type recorder struct {
	name string
	log  *[]string
	err  error
}

func (r *recorder) Start(context.Context) error {
	*r.log = append(*r.log, "start "+r.name)
	return r.err
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	var log []string
	var k Kernel
	is.NoErr(k.Register("a", &recorder{name: "a", log: &log}))
	is.NoErr(k.Register("b", &recorder{name: "b", log: &log}))
	is.NoErr(k.Register("c", &recorder{name: "c", log: &log, err: errors.New("no")}))
	is.True(k.Register("a", &recorder{}) != nil) // names are unique
	is.True(k.Start(t.Context()) != nil)
	is.Equal(log, []string{"start a", "start b", "start c", "stop b", "stop a"})

	_, err := Lookup[*recorder](&k, "b")
	is.NoErr(err)
	_, err = Lookup[*recorder](&k, "d")
	is.True(err != nil)
}
