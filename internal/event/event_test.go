package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// TestCatalogue holds docs/EVENTS.md and the code together.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	rows := 0
	for _, line := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number") {
			rows++
		}
	}
	kinds := Kinds()
	is.Equal(rows, len(kinds)) // one row for each event
	last := ID(0)
	for _, k := range kinds {
		is.True(k.ID > last) // in order, each once
		last = k.ID
		want := fmt.Sprintf("| %d | %s | %s |", k.ID, k.Name, k.Level)
		is.True(strings.Contains(string(b), want)) // the row says the same
	}
}

func TestRecent(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	l := logrus.New()
	l.SetOutput(&out)
	log := New(l)
	log.Emit(MemberDown, Fields{Step: "members", Peer: "127.0.0.1:1#s"})
	is.Equal(len(log.Recent()), 1)
	is.Equal(log.Recent()[0].ID, MemberDown)
	is.True(strings.Contains(out.String(), "event=501"))
	is.True(strings.Contains(out.String(), "peer="))
	var none *Log
	none.Emit(MemberDown, Fields{}) // a nil log drops events
}
