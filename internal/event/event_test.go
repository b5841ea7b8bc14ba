package event

import (
	"errors"
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

// TestLongTexts guards against callers that fill the memory with the texts that they choose:
// lines wait for a slow reader, and recent events are kept.
func TestLongTexts(t *testing.T) {
	const size = 100 << 10
	long := strings.Repeat("x", size)
	tests := []struct {
		name   string
		fields Fields
		max    int // bytes of a line
	}{
		{name: "request", fields: Fields{Request: long}, max: 1 << 10},
		{name: "all", fields: Fields{Step: long, Peer: long, Request: long, Class: long, Detail: long, Err: errors.New(long)}, max: 10 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			logger := logrus.New()
			logger.SetOutput(&out)
			log := New(logger)
			log.Emit(RequestFailed, tt.fields)
			is.True(out.Len() <= tt.max)
			is.True(strings.Contains(out.String(), strings.Repeat("x", 200))) // its beginning is there
			is.True(strings.Contains(out.String(), fmt.Sprint(size)))
			r := log.Recent()[0]
			is.True(len(r.Step)+len(r.Peer)+len(r.Request)+len(r.Detail) <= tt.max)
		})
	}
}
