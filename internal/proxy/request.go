package proxy

import (
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// A Request is a request of a caller.
type Request struct {
	Payload  *client.Request
	Table    *route.Table
	Route    *route.Route
	Arrived  time.Time
	Deadline time.Time // the caller's deadline or the route's timeout, whichever is earlier
}

// promoteAt returns the time after which a late request no longer leaves slots to
// requests that can be on time, because it might miss its own deadline.
func (q *Request) promoteAt() time.Time {
	return q.Arrived.Add(time.Duration(promoteShare * float64(q.Deadline.Sub(q.Arrived))))
}

// A Kind classifies an Answer.
type Kind int

// Kinds of answers.
const (
	Served     Kind = iota // successful, perhaps without some shards
	Relayed                // an upstream's error response, to be passed on unchanged
	Refused                // the request has not run on any upstream and will not
	Lost                   // the request may have run, but no answer was received
	TimedOut               // the deadline passed before there was an answer
	CallerGone             // the caller disconnected
)

// String returns the kind as a metric label and a log value.
func (k Kind) String() string {
	return [...]string{"served", "relayed", "refused", "lost", "late", "gone"}[k]
}

// An Answer is the result of a Request.
type Answer struct {
	Kind          Kind
	Status        int // HTTP status, if Served or Relayed
	Header        http.Header
	Body          []byte
	Proofs        []string      // proofs of the merged shards, for a route with shards
	MissingShards int           // shards left out of a merged answer
	RetryAfter    time.Duration // suggested delay before a refused caller retries
	Reason        string        // why it is not a complete success; empty if it is
}
