package event

import (
	"io"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/ring"
)

// writerLines is the number of lines that wait for a slow reader.
const writerLines = 2048

// A Writer passes lines on to a slower one and never blocks: when too many
// wait, the oldest are dropped and counted. Use NewWriter to make one.
type Writer struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// NewWriter returns a started writer.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:   out,
		lines: ring.New[[]byte](writerLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write keeps one line for the reader.
func (w *Writer) Write(b []byte) (int, error) {
	w.lines.Put(append([]byte(nil), b...))
	return len(b), nil
}

// Lost returns how many lines were dropped.
func (w *Writer) Lost() uint64 {
	return w.lines.Dropped()
}

// Close writes what waits, for as long as the wait lasts at most.
func (w *Writer) Close(wait time.Duration) {
	w.once.Do(func() { close(w.stop) })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.lines.Ready():
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush writes all lines that wait in one piece.
func (w *Writer) flush() {
	var all []byte
	for _, b := range w.lines.Take() {
		all = append(all, b...)
	}
	if len(all) > 0 {
		// A log that can't be written has nowhere to say so.
		_, _ = w.out.Write(all)
	}
}
