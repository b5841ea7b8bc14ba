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

func newTestLog(w io.Writer) *Log {
	out := logrus.New()
	out.SetOutput(w)
	out.SetFormatter(&logrus.JSONFormatter{})
	return New(out)
}

// blockedWriter is an output whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestStuckReader(t *testing.T) {
	is := is.New(t)
	s := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(s)
	l := newTestLog(w)
	const lines = 3 * writerCapacity
	for range lines {
		l.Emit(SettingsReloaded, Fields{Step: "test"})
	}
	is.True(w.Dropped() > 0)
	is.True(w.Dropped() <= lines)
	w.Close(time.Millisecond) // returns although the output is blocked
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
	is.Equal(w.Dropped(), uint64(0))
}

// TestRateLimit logs many failed requests at once: their lines are limited, and a
// later line reports how many were suppressed.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := newTestLog(&out)
	for range 3 * maxFailedPerSecond {
		l.Emit(RequestFailed, Fields{Request: "q"})
	}
	is.Equal(strings.Count(out.String(), "\n"), maxFailedPerSecond)
	l.limiter.start = time.Now().Add(-time.Second)
	l.Emit(SettingsReloaded, Fields{})
	is.True(strings.Contains(out.String(), `"event":900`))
	is.True(strings.Contains(out.String(), `"detail":400`))
}

func BenchmarkStuckReader(b *testing.B) {
	s := &blockedWriter{release: make(chan struct{})}
	defer close(s.release)
	l := newTestLog(NewWriter(s))
	for b.Loop() {
		l.Emit(SettingsReloaded, Fields{Step: "bench", Request: "q"})
	}
}
