// Package once ensures that a booking is sent at most once. Before it is sent, a
// claim of its idempotency key is created in the object API, which accepts only
// one.
package once

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/store"
)

// Durations that concern claims.
const (
	Retention     = 24 * time.Hour  // age from which Sweep removes a claim
	recordTimeout = 5 * time.Second // for recording an outcome or removing a claim
)

// Errors of Acquire, to be matched with errors.Is.
var (
	// ErrKeyReused says that the caller has used the key for a booking with other
	// content.
	ErrKeyReused = errors.New("the key belongs to another booking")
	// ErrOutcomeUnknown says that an earlier request with the key may have sent the
	// booking, but its outcome is not recorded or can't be read.
	ErrOutcomeUnknown = errors.New("the outcome of the first attempt is unknown")
)

// Claims acquires claims and removes old ones. It is safe for concurrent use.
type Claims struct {
	Store *store.Client
	Log   *event.Log
}

// A Claim is the right to send one booking once. It ends with a call of Complete
// or Release; without one, later requests with the key get ErrOutcomeUnknown. It
// is not safe for concurrent use.
type Claim struct {
	Nonce string // random, identifies the attempt to acquire the claim

	claims     *Claims
	objectName string // name of the stored claim
	record     object.Claim
	revision   uint64 // of the stored claim
}

// NewKey returns a random idempotency key.
func NewKey() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// objectName returns the name under which a claim is stored. It depends on the
// caller class, so that callers may use the same key without conflict.
func objectName(caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// Digest returns a digest of a booking's content, to tell whether two bookings with
// the same key are the same.
func Digest(item, body string) string {
	sum := sha256.Sum256([]byte(item + "\x00" + body))
	return hex.EncodeToString(sum[:16])
}

// Acquire creates the claim of a booking. It returns the claim, or the recorded
// outcome if an earlier request with the key has executed the booking. If it returns
// neither, the error is ErrOutcomeUnknown, ErrKeyReused, or another error, after
// which the booking has not been sent for this claim and will not be.
func (c *Claims) Acquire(ctx context.Context, caller, key, digest string) (*Claim, *object.Claim, error) {
	record := object.Claim{Key: key, Nonce: NewKey(), Digest: digest, CreatedUnix: time.Now().Unix()}
	o, err := object.Encode(object.KindClaim, objectName(caller, key), &record)
	if err != nil {
		return nil, nil, err
	}
	rev, err := c.Store.PutConfirmed(ctx, o)
	if errors.Is(err, store.ErrConflict) {
		return c.resolveConflict(ctx, &o, record)
	}
	if err != nil {
		return nil, nil, fault.Wrap(err, "claim", c.Store.ObjectsAddr)
	}
	return &Claim{Nonce: record.Nonce, claims: c, objectName: o.Name, record: record, revision: rev}, nil, nil
}

// resolveConflict returns the result of Acquire if the claim exists already. The
// stored claim may be own, if it was created and the response was lost.
func (c *Claims) resolveConflict(ctx context.Context, o *object.Object, own object.Claim) (*Claim, *object.Claim, error) {
	stored, err := c.Store.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return nil, nil, fault.Wrap(ErrOutcomeUnknown, "claim", c.Store.ObjectsAddr)
	}
	var record object.Claim
	if err := object.Decode(stored.Body, &record); err != nil {
		return nil, nil, fault.Wrap(ErrOutcomeUnknown, "claim", c.Store.ObjectsAddr)
	}
	switch {
	case record.Nonce == own.Nonce:
		return &Claim{Nonce: record.Nonce, claims: c, objectName: o.Name, record: record, revision: stored.Revision}, nil, nil
	case record.Digest != own.Digest:
		return nil, nil, fault.Wrap(ErrKeyReused, "claim", c.Store.ObjectsAddr)
	case record.Done:
		return nil, &record, nil
	}
	return nil, nil, fault.Wrap(ErrOutcomeUnknown, "claim", c.Store.ObjectsAddr)
}

// Complete records the outcome of a booking that was executed, also after ctx has
// ended. A failure is logged; later requests with the key then get
// ErrOutcomeUnknown.
func (c *Claim) Complete(ctx context.Context, result string) {
	c.record.Done = true
	c.record.Result = result
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	o, err := object.Encode(object.KindClaim, c.objectName, &c.record)
	if err == nil {
		o.Revision = c.revision
		_, err = c.claims.Store.PutConfirmed(ctx, o)
	}
	if err != nil {
		c.claims.Log.Emit(event.OutcomeLost, event.Fields{Step: "record", Err: err, Detail: c.record.Key})
	}
}

// Release removes the claim of a booking that was certainly not executed and will
// not be, so that the key can be used again. It does so also after ctx has ended. A
// failure is logged; later requests with the key then get ErrOutcomeUnknown.
func (c *Claim) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	o := object.Object{Kind: object.KindClaim, Name: c.objectName, Revision: c.revision, Deleted: true}
	if _, err := c.claims.Store.Put(ctx, o); err != nil {
		c.claims.Log.Emit(event.ClaimFailed, event.Fields{Step: "release", Err: err, Detail: c.record.Key})
	}
}

// sweepPage is the number of claims that Sweep reads at a time.
const sweepPage = 400

// Sweep removes up to limit claims that are at least as old as Retention, and returns
// how many it removed. It reads the claims page by page, in the order of their last
// change, until one is younger: those after it were created later or at about the
// same time.
func (c *Claims) Sweep(ctx context.Context, limit int, now time.Time) (int, error) {
	var since uint64
	n := 0
	for {
		page, err := c.Store.Changes(ctx, []object.Kind{object.KindClaim}, since, sweepPage, 0)
		if err != nil {
			return n, err
		}
		for _, o := range page.Objects {
			var record object.Claim
			if o.Deleted || object.Decode(o.Body, &record) != nil {
				continue
			}
			if n == limit || now.Sub(time.Unix(record.CreatedUnix, 0)) < Retention {
				return n, nil
			}
			removed, err := c.remove(ctx, o)
			if err != nil {
				return n, err
			}
			n += removed
		}
		if !page.More {
			return n, nil
		}
		since = page.Revision
	}
}

// remove removes a claim and returns 1, or 0 if another daemon has changed it.
func (c *Claims) remove(ctx context.Context, o object.Object) (int, error) {
	o.Deleted = true
	_, err := c.Store.Put(ctx, o)
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return 0, nil
	case err != nil:
		return 0, fmt.Errorf("remove claim %s: %w", o.Name, err)
	}
	return 1, nil
}
