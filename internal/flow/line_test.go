package flow

import (
	"testing"

	"github.com/matryer/is"
)

func TestLine(t *testing.T) {
	is := is.New(t)
	var l line
	late := l.join(true, 0)
	second := l.join(false, 2)
	third := l.join(false, 2)
	first := l.join(false, 1) // the most urgent
	turns := func() []bool {
		return []bool{len(late.ready) > 0, len(first.ready) > 0, len(second.ready) > 0, len(third.ready) > 0}
	}
	is.True(l.crowded())
	l.wake()
	is.Equal(turns(), []bool{false, true, false, false})
	l.leave(first, false) // a turn that was not used goes to the next
	is.Equal(turns(), []bool{false, false, true, false})
	l.leave(second, false)
	is.Equal(turns(), []bool{false, false, false, true})
	l.leave(third, false)
	is.Equal(turns(), []bool{true, false, false, false})
	is.True(!l.crowded())
	l.leave(late, true)
	is.Equal(len(l.fresh)+len(l.late), 0)
}
