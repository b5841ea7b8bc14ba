package event

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

func logTo(w io.Writer) *Log {
	out := logrus.New()
	out.SetOutput(w)
	out.SetFormatter(&logrus.JSONFormatter{})
	return New(out)
}

// stuck is a reader that never reads.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestStuckReader(t *testing.T) {
	is := is.New(t)
	s := &stuck{release: make(chan struct{})}
	w := NewWriter(s)
	l := logTo(w)
	const lines = 3 * writerLines
	for range lines {
		l.Emit(SettingsRead, Fields{Step: "test"})
	}
	is.True(w.Lost() > 0)
	is.True(w.Lost() <= lines)
	w.Close(time.Millisecond) // does not wait for the reader
	close(s.release)
}

func TestWriterKeepsOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, s := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(s))
		is.NoErr(err)
	}
	w.Close(time.Minute)
	is.Equal(out.String(), "a\nb\nc\n")
	is.Equal(w.Lost(), uint64(0))
}

// TestVolume fails many requests at once: their lines are bounded, and what was
// left out is said.
func TestVolume(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := logTo(&out)
	for range 3 * failedLines {
		l.Emit(Answered, Fields{Request: "q"})
	}
	is.Equal(strings.Count(out.String(), "\n"), failedLines)
	l.pace.since = time.Now().Add(-time.Second)
	l.Emit(SettingsRead, Fields{})
	is.True(strings.Contains(out.String(), `"event":900`))
	is.True(strings.Contains(out.String(), `"detail":400`))
}

func BenchmarkStuckReader(b *testing.B) {
	s := &stuck{release: make(chan struct{})}
	defer close(s.release)
	l := logTo(NewWriter(s))
	for b.Loop() {
		l.Emit(SettingsRead, Fields{Step: "bench", Request: "q"})
	}
}
