package feed

import (
	"context"
	"errors"
	"time"

	"bronzedoor.dev/bronzedoor/internal/pace"
)

// Times of a topic.
const (
	watchWait  = 10 * time.Second       // a watch waits so long for a change
	firstWait  = 500 * time.Millisecond // a starting daemon gives others so long to tell it
	rankWait   = 150 * time.Millisecond // between two daemons that would read in place of a lost one
	rankMost   = 10                     // ranks above wait no longer
	look       = 50 * time.Millisecond  // resolution of the waits
	readShort  = 500 * time.Millisecond // a read is given up after it, so that one that is lost is soon made again
	readLong   = 2 * time.Second        // and each third one in a row after this, for a store that is slow
	readThird  = 3
	retryNew   = 200 * time.Millisecond // most between two reads of a daemon that knows nothing
	retryFirst = 100 * time.Millisecond // after a failed call, doubled up to retryMost
	retryMost  = 800 * time.Millisecond // so that a store's return is noticed within a second
	retryRest  = 4 * time.Second        // for daemons of which others read first
	starters   = 4                      // daemons of a failure domain that do not wait to be told at their start
	readers    = 3                      // daemons of a failure domain that retry often
)

// A watcher waits for changes in the store.
type watcher struct {
	*Topic
}

// loop watches while the daemon reads the store, until ctx ends.
func (t *watcher) loop(ctx context.Context) {
	defer t.duties.Done()
	retry := retryFirst
	for ctx.Err() == nil {
		if !t.leading() {
			pace.Sleep(ctx, retryFirst)
			continue
		}
		l, err := t.Watch(ctx, t.Revision(), watchWait)
		switch {
		case err == nil:
			t.change(l)
			retry = retryFirst
			continue
		case errors.Is(err, ErrHistory):
			err = t.readAll(ctx)
		}
		if err != nil {
			t.lost(ctx, err)
		}
		// A store that forgets faster than it is read gets no more calls either.
		pace.Sleep(ctx, pace.Jitter(retry))
		retry = min(2*retry, retryMost)
	}
}

// A reader reads everything from the store when what is known is too old.
type reader struct {
	*Topic
	born  time.Time
	retry time.Duration
}

// loop reads until ctx ends.
func (t *reader) loop(ctx context.Context) {
	defer t.duties.Done()
	t.retry = retryFirst
	for pace.Sleep(ctx, look) {
		if !t.due(time.Now()) {
			continue
		}
		err := t.readAll(ctx)
		if err == nil {
			t.retry = retryFirst
			continue
		}
		t.lost(ctx, err)
		pace.Sleep(ctx, pace.Jitter(t.retry))
		most := retryMost
		switch {
		case t.Revision() == 0:
			most = retryNew
		case t.Rank() >= readers:
			most = retryRest
		}
		t.retry = min(2*t.retry, most)
	}
}

// due reports whether the store is to be read now.
func (t *reader) due(now time.Time) bool {
	rank := min(t.Rank(), rankMost)
	ranked := t.Ranked == nil || t.Ranked()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.rev == 0:
		return ranked && rank < starters || now.Sub(t.born) > firstWait+time.Duration(rank)*rankWait
	case rank == 0 || t.leads:
		return now.Sub(t.asOf) >= t.Every
	}
	return now.Sub(t.asOf) >= Stale+time.Duration(rank)*rankWait
}

func (t *Topic) readAll(ctx context.Context) error {
	begun := time.Now()
	l, err := t.read(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.missed++
		return err
	}
	t.missed = 0
	t.leads = true
	t.found()
	if l.Revision < t.rev {
		return nil
	}
	t.replace(l)
	t.confirm(begun)
	return nil
}

// read reads everything, for a time that depends on how reads went before.
func (t *Topic) read(ctx context.Context) (List, error) {
	t.mu.Lock()
	wait := readShort
	if t.missed%readThird == readThird-1 {
		wait = readLong
	}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return t.Read(ctx)
}
