// Package search speaks to upstreams: the messages, one connection at a time,
// and the pool of connections that keeps an upstream's cap.
package search

import (
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Paths of an upstream.
const (
	PathStart = "/v1/start" // GET: identity of the process that answers
	PathPart  = "/v1/part"  // POST: a Part
	PathBook  = "/v1/book"  // POST: a Booking, executed on receipt
)

// HeaderRemaining carries the time until the deadline, in milliseconds.
const HeaderRemaining = "Remaining"

// A Part asks one shard for its best hits, or whether one item is free.
type Part struct {
	Request  string         `json:"request"` // identity of the caller's request
	Service  string         `json:"service"`
	Shard    int            `json:"shard"`
	Snapshot query.Snapshot `json:"snapshot"` // Version 0 lets the upstream choose
	Text     string         `json:"text,omitempty"`
	Top      int            `json:"top,omitempty"`
	After    *query.Hit     `json:"after,omitempty"`
	Item     string         `json:"item,omitempty"` // set for a check
	Key      string         `json:"key,omitempty"`  // set for a booking
	Body     string         `json:"body,omitempty"` // of a booking
}

// A Reply echoes the identity of its part.
type Reply struct {
	Request  string         `json:"request"`
	Shard    int            `json:"shard"`
	Snapshot query.Snapshot `json:"snapshot"`
	Start    string         `json:"start"`  // start identity of the upstream
	Oldest   uint64         `json:"oldest"` // versions that the upstream holds
	Newest   uint64         `json:"newest"`
	Hits     []query.Hit    `json:"hits,omitempty"`
	Partial  bool           `json:"partial,omitempty"` // some of the shard was not searched
	Free     bool           `json:"free,omitempty"`
	Result   string         `json:"result,omitempty"` // of a booking
	Reason   string         `json:"reason,omitempty"` // of a refusal
}

// Reasons of an upstream's refusal.
const (
	ReasonShed    = "shed"    // overloaded: 503
	ReasonDrain   = "drain"   // leaving: 503
	ReasonVersion = "version" // the snapshot is not held: 409
	ReasonLate    = "late"    // the deadline passed: 504
)

// A Start is what an upstream says of itself.
type Start struct {
	Start  string `json:"start"`
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
	Drain  bool   `json:"drain,omitempty"`
}
