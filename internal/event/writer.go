package event

import (
	"io"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/ring"
)

// writerCapacity is the number of lines that a Writer buffers for a slow output.
const writerCapacity = 2048

// A Writer buffers lines and writes them to its output in the background. Write
// never blocks: if the buffer is full, the oldest line is dropped and counted. Use
// NewWriter to create one. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:   out,
		lines: ring.New[[]byte](writerCapacity),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write buffers a copy of b, which must be one line. The error is always nil.
func (w *Writer) Write(b []byte) (int, error) {
	w.lines.Put(append([]byte(nil), b...))
	return len(b), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 {
	return w.lines.Dropped()
}

// Close flushes the buffered lines and ends the goroutine. It returns after timeout
// even if the output is still blocked.
func (w *Writer) Close(timeout time.Duration) {
	w.once.Do(func() { close(w.stop) })
	timer := time.NewTimer(timeout)
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

// flush writes all buffered lines with a single call of the output's Write.
func (w *Writer) flush() {
	var all []byte
	for _, b := range w.lines.Take() {
		all = append(all, b...)
	}
	if len(all) > 0 {
		// There is nowhere to report an error of the log itself.
		_, _ = w.out.Write(all)
	}
}
