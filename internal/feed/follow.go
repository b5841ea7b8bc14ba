package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
)

const (
	watchTimeout    = 10 * time.Second       // for a change, in one call of Watch
	startDelay      = 500 * time.Millisecond // how long a starting daemon waits for a copy from a peer before it reads the store
	rankDelay       = 150 * time.Millisecond // between daemons of successive ranks that read in place of a lost one
	maxDelayRank    = 10                     // higher ranks wait no longer than this one
	pollInterval    = 50 * time.Millisecond  // between checks whether a read is due
	readTimeout     = 500 * time.Millisecond // of a read; short, so that a lost one is soon repeated
	slowReadTimeout = 2 * time.Second        // of one in slowReadEvery reads while they fail, in case the store is slow
	slowReadEvery   = 3
	maxRetryEmpty   = 200 * time.Millisecond // like maxRetry, for a daemon that holds nothing yet
	minRetry        = 100 * time.Millisecond // wait after a failed call, doubled with each up to maxRetry
	maxRetry        = 800 * time.Millisecond // low enough to notice within a second that the store is back
	maxRetryBackup  = 4 * time.Second        // like maxRetry, for daemons ranked behind frequentReaders others
	initialReaders  = 4                      // daemons of a failure domain that read the store at once when they start
	frequentReaders = 3                      // daemons of a failure domain that retry often
)

// A watcher watches the store for changes.
type watcher struct {
	*Topic
}

// loop watches the store until ctx ends, but only while this daemon reads the store.
func (t *watcher) loop(ctx context.Context) {
	defer t.goroutines.Done()
	retry := minRetry
	for ctx.Err() == nil {
		if !t.readsStore() {
			delay.Sleep(ctx, minRetry)
			continue
		}
		l, err := t.Watch(ctx, t.Revision(), watchTimeout)
		switch {
		case err == nil:
			t.applyChanges(l)
			retry = minRetry
			continue
		case errors.Is(err, ErrCompacted):
			err = t.readAll(ctx)
		}
		if err != nil {
			t.storeFailed(ctx, err)
		}
		// Waits after ErrCompacted too, so that a store which drops its history
		// faster than it is read is not called without a pause.
		delay.Sleep(ctx, delay.Jitter(retry))
		retry = min(2*retry, maxRetry)
	}
}

// A reader reads all objects from the store when the copy held is too old.
type reader struct {
	*Topic
	started time.Time
	retry   time.Duration
}

// loop reads all objects whenever that is due, until ctx ends.
func (t *reader) loop(ctx context.Context) {
	defer t.goroutines.Done()
	t.retry = minRetry
	for delay.Sleep(ctx, pollInterval) {
		if !t.due(time.Now()) {
			continue
		}
		err := t.readAll(ctx)
		if err == nil {
			t.retry = minRetry
			continue
		}
		t.storeFailed(ctx, err)
		delay.Sleep(ctx, delay.Jitter(t.retry))
		limit := maxRetry
		switch {
		case t.Revision() == 0:
			limit = maxRetryEmpty
		case t.Rank() >= frequentReaders:
			limit = maxRetryBackup
		}
		t.retry = min(2*t.retry, limit)
	}
}

// due reports whether this daemon is to read the store now.
func (t *reader) due(now time.Time) bool {
	rank := min(t.Rank(), maxDelayRank)
	ranked := t.RankKnown == nil || t.RankKnown()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.rev == 0:
		return ranked && rank < initialReaders || now.Sub(t.started) > startDelay+time.Duration(rank)*rankDelay
	case rank == 0 || t.fromStore:
		return now.Sub(t.asOf) >= t.ReadInterval
	}
	return now.Sub(t.asOf) >= StaleAge+time.Duration(rank)*rankDelay
}

// readAll reads all objects from the store and applies them, unless the topic is at
// a later revision.
func (t *Topic) readAll(ctx context.Context) error {
	start := time.Now()
	l, err := t.read(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failedReads++
		return err
	}
	t.failedReads = 0
	t.fromStore = true
	t.storeAnswered()
	if l.Revision < t.rev {
		t.Log.Emit(event.StoreBehind, event.Fields{Step: "follow", Class: t.Name, Detail: fmt.Sprintf("read revision %v, held %v", l.Revision, t.rev)})
		return nil
	}
	t.replaceAll(l)
	t.setAsOf(start)
	return nil
}

// read reads all objects. Its timeout depends on how many reads have failed in a
// row.
func (t *Topic) read(ctx context.Context) (List, error) {
	t.mu.Lock()
	timeout := readTimeout
	if t.failedReads%slowReadEvery == slowReadEvery-1 {
		timeout = slowReadTimeout
	}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.Read(ctx)
}
