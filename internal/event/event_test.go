package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// TestCatalogue checks that docs/EVENTS.md lists exactly the events of Kinds.
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
	is.Equal(rows, len(kinds)) // one row per event
	last := ID(0)
	for _, k := range kinds {
		is.True(k.ID > last) // in ascending order, no ID twice
		last = k.ID
		want := fmt.Sprintf("| %d | %s | %s |", k.ID, k.Name, k.Level)
		is.True(strings.Contains(string(b), want)) // the row matches the code
	}
}

func TestRecent(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	logger := logrus.New()
	logger.SetOutput(&out)
	log := New(logger)
	log.Emit(MemberDown, Fields{Step: "members", Peer: "127.0.0.1:1#s"})
	is.Equal(len(log.Recent()), 1)
	is.Equal(log.Recent()[0].ID, MemberDown)
	is.True(strings.Contains(out.String(), "event=501"))
	is.True(strings.Contains(out.String(), "peer="))
	var nilLog *Log
	nilLog.Emit(MemberDown, Fields{}) // a nil Log discards events
}
