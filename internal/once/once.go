// Package once makes sure that a booking is sent at most once: before it is
// sent, its claim is created in the object API.
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

// Times of claims.
const (
	Keep       = 24 * time.Hour  // a claim is kept for so long
	recordWait = 5 * time.Second // for recording an outcome
)

// Errors that callers ask for with errors.Is.
var (
	// ErrOther says that the key belongs to a booking with another content.
	ErrOther = errors.New("the key belongs to another booking")
	// ErrOpen says that another attempt has the claim and no outcome is recorded.
	ErrOpen = errors.New("the outcome of the first attempt is unknown")
)

// Claims makes claims. It is safe for concurrent use.
type Claims struct {
	Store *store.Client
	Log   *event.Log
}

// A Ticket is the right to send one booking once.
type Ticket struct {
	Nonce string

	claims *Claims
	name   string // under which the claim is stored
	claim  object.Claim
	rev    uint64
}

// NewKey returns a random key.
func NewKey() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// name returns the name of a claim. Callers' keys do not meet.
func name(caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// Digest returns a digest of a booking's content.
func Digest(item, body string) string {
	sum := sha256.Sum256([]byte(item + "\x00" + body))
	return hex.EncodeToString(sum[:16])
}

// Begin makes the claim of a booking. It returns a ticket, or the recorded
// outcome of an earlier attempt. ErrOpen and ErrOther say why there is neither;
// after any other error nothing has been sent and nothing will be.
func (c *Claims) Begin(ctx context.Context, caller, key, digest string) (*Ticket, *object.Claim, error) {
	claim := object.Claim{Key: key, Nonce: NewKey(), Digest: digest, CreatedUnix: time.Now().Unix()}
	o, err := object.Encode(object.KindClaim, name(caller, key), &claim)
	if err != nil {
		return nil, nil, err
	}
	rev, err := c.Store.PutConfirmed(ctx, o)
	if errors.Is(err, store.ErrConflict) {
		return c.existing(ctx, &o, claim)
	}
	if err != nil {
		return nil, nil, fault.Wrap(err, "claim", c.Store.ObjectsAddr)
	}
	return &Ticket{Nonce: claim.Nonce, claims: c, name: o.Name, claim: claim, rev: rev}, nil, nil
}

// existing explains a claim that was there before. The claim may be this
// attempt's own, when the answer to its creation was lost.
func (c *Claims) existing(ctx context.Context, o *object.Object, own object.Claim) (*Ticket, *object.Claim, error) {
	now, err := c.Store.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return nil, nil, fault.Wrap(ErrOpen, "claim", c.Store.ObjectsAddr)
	}
	var claim object.Claim
	if err := object.Decode(now.Body, &claim); err != nil {
		return nil, nil, fault.Wrap(ErrOpen, "claim", c.Store.ObjectsAddr)
	}
	switch {
	case claim.Nonce == own.Nonce:
		return &Ticket{Nonce: claim.Nonce, claims: c, name: o.Name, claim: claim, rev: now.Revision}, nil, nil
	case claim.Digest != own.Digest:
		return nil, nil, fault.Wrap(ErrOther, "claim", c.Store.ObjectsAddr)
	case claim.Done:
		return nil, &claim, nil
	}
	return nil, nil, fault.Wrap(ErrOpen, "claim", c.Store.ObjectsAddr)
}

// Done records the outcome of a booking that was executed.
func (t *Ticket) Done(ctx context.Context, result string) {
	t.claim.Done = true
	t.claim.Result = result
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordWait)
	defer cancel()
	o, err := object.Encode(object.KindClaim, t.name, &t.claim)
	if err == nil {
		o.Revision = t.rev
		_, err = t.claims.Store.PutConfirmed(ctx, o)
	}
	if err != nil {
		t.claims.Log.Emit(event.OutcomeLost, event.Fields{Step: "record", Err: err, Detail: t.claim.Key})
	}
}

// Release removes the claim of a booking that was certainly not executed and
// will not be, so that the key can be used again. When that fails, later
// attempts are told that the outcome is unknown.
func (t *Ticket) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordWait)
	defer cancel()
	o := object.Object{Kind: object.KindClaim, Name: t.name, Revision: t.rev, Deleted: true}
	if _, err := t.claims.Store.Put(ctx, o); err != nil {
		t.claims.Log.Emit(event.ClaimFailed, event.Fields{Step: "release", Err: err, Detail: t.claim.Key})
	}
}

// Sweep removes up to limit claims that are older than Keep. It returns how
// many it removed.
func (c *Claims) Sweep(ctx context.Context, limit int, now time.Time) (int, error) {
	l, err := c.Store.Changes(ctx, []object.Kind{object.KindClaim}, 0, 4*limit, 0)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, o := range l.Objects {
		var claim object.Claim
		if o.Deleted || n == limit || object.Decode(o.Body, &claim) != nil {
			continue
		}
		if now.Sub(time.Unix(claim.CreatedUnix, 0)) < Keep {
			continue
		}
		o.Deleted = true
		if _, err := c.Store.Put(ctx, o); err != nil {
			return n, fmt.Errorf("sweep %s: %w", o.Name, err)
		}
		n++
	}
	return n, nil
}
