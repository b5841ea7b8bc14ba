// Package search is the client side of the upstreams' HTTP protocol: the
// messages, and connections that carry one request at a time. Pooling and
// limits are up to the callers of the package.
package search

import (
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// URL paths that an upstream serves.
const (
	PathStart = "/v1/start" // GET: returns an Info
	PathShard = "/v1/part"  // POST: a ShardRequest that searches or checks an item
	PathBook  = "/v1/book"  // POST: a ShardRequest that books an item, executed on receipt
)

// HeaderRemaining is the request header that carries the time left until the
// deadline, in milliseconds.
const HeaderRemaining = "Remaining"

// A ShardRequest is the part of a caller's request that goes to one shard. It
// searches the shard, checks whether an item is free, or books the item.
type ShardRequest struct {
	Request  string         `json:"request"` // ID of the caller's request
	Service  string         `json:"service"`
	Shard    int            `json:"shard"`
	Snapshot query.Snapshot `json:"snapshot"` // with Version 0 the upstream chooses the version
	Text     string         `json:"text,omitempty"`
	Top      int            `json:"top,omitempty"`   // maximum number of hits
	After    *query.Hit     `json:"after,omitempty"` // only hits that rank after this one
	Item     string         `json:"item,omitempty"`  // item to check or to book
	Key      string         `json:"key,omitempty"`   // idempotency key; only in a booking
	Body     string         `json:"body,omitempty"`  // only in a booking
}

// A Reply is an upstream's reply to a ShardRequest. It repeats Request and Shard,
// so that a reply to another request is noticed.
type Reply struct {
	Request  string         `json:"request"`
	Shard    int            `json:"shard"`
	Snapshot query.Snapshot `json:"snapshot"`
	StartID  string         `json:"start"`  // identifies the upstream process since its start
	Oldest   uint64         `json:"oldest"` // oldest and newest version that the upstream holds
	Newest   uint64         `json:"newest"`
	Hits     []query.Hit    `json:"hits,omitempty"`
	Partial  bool           `json:"partial,omitempty"` // only some of the shard was searched
	Free     bool           `json:"free,omitempty"`    // result of a check
	Result   string         `json:"result,omitempty"`  // result of a booking
	Reason   string         `json:"reason,omitempty"`  // why the request was rejected, such as ReasonShed
}

// Reasons for which an upstream rejects a request, with the HTTP status.
const (
	ReasonShed     = "shed"    // 503: overloaded
	ReasonDrain    = "drain"   // 503: the upstream is draining
	ReasonVersion  = "version" // 409: the upstream does not hold the snapshot
	ReasonDeadline = "late"    // 504: the deadline passed
)

// An Info is what an upstream reports about itself.
type Info struct {
	StartID  string `json:"start"`  // identifies the process since its start
	Oldest   uint64 `json:"oldest"` // oldest and newest version that it holds
	Newest   uint64 `json:"newest"`
	Draining bool   `json:"drain,omitempty"`
}
