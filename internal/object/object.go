// Package object defines the objects that are stored in the platform's object
// API: labels, selectors, layouts, cells and claims. The JSON form of each type is
// its stored format.
package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// A Kind is a type of stored object. It is part of the object's path in the API.
type Kind string

// The kinds of stored objects. All but KindClaim are configuration.
const (
	KindLabel    Kind = "label"
	KindSelector Kind = "selector"
	KindLayout   Kind = "layout"
	KindCell     Kind = "cell"
	KindClaim    Kind = "claim"
)

// ConfigKinds lists the kinds of configuration, which every daemon watches.
var ConfigKinds = []Kind{KindLabel, KindSelector, KindLayout, KindCell}

// An Object is a stored object at one revision.
type Object struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"rev"`            // store-wide revision of the last write to this object
	Deleted  bool            `json:"gone,omitempty"` // deleted at Revision
	Body     json.RawMessage `json:"body,omitempty"`
}

// A Pair is one key and value of a Label.
type Pair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// A Label holds the key-value pairs that operators set on one target, which is
// "upstream/IP:PORT", "domain/NAME" for a failure domain, or "vm/IP:PORT".
type Label struct {
	Target string `json:"target"`
	Pairs  []Pair `json:"pairs"` // keys are unique
}

// Keys of pairs that the system itself reads.
const (
	KeyService = "service" // of an upstream
	KeyLayout  = "layout"  // of an upstream: Layout.Number of the layout that it serves
	KeyShard   = "shard"   // of an upstream: number of its shard within the layout
	KeyDomain  = "domain"  // of an upstream or a VM: name of its failure domain
	KeySlots   = "slots"   // of an upstream: requests that it serves at a time
	KeyConns   = "conns"   // of an upstream: connections that it accepts
	KeyState   = "state"   // of any target: "in" or StateOut
)

// StateOut is the value of KeyState that takes a target out of rotation: it gets
// no new requests.
const StateOut = "out"

// Value returns the value of key, or "" if the label does not have the key.
func (l *Label) Value(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// Set sets key to value; an empty value removes the key.
func (l *Label) Set(key, value string) {
	for i, p := range l.Pairs {
		if p.Key != key {
			continue
		}
		if value == "" {
			l.Pairs = append(l.Pairs[:i], l.Pairs[i+1:]...)
		} else {
			l.Pairs[i].Value = value
		}
		return
	}
	if value != "" {
		l.Pairs = append(l.Pairs, Pair{Key: key, Value: value})
	}
}

// A Selector sends the queries of one caller class to a service and sets the
// policy for them.
type Selector struct {
	Caller       string `json:"caller"`           // caller class
	Service      string `json:"service"`          // service that the queries go to
	MatchLabels  []Pair `json:"pick,omitempty"`   // pairs that an upstream's Label must have
	DeadlineMs   int    `json:"deadline"`         // time for the whole query in milliseconds
	EarlyMs      int    `json:"early,omitempty"`  // milliseconds after which MinCoverage is enough; 0 means DeadlineMs
	MinCoverage  int    `json:"floor"`            // minimum share of shards in an answer, in percent
	HedgePercent int    `json:"hedge,omitempty"`  // budget for hedges in percent of the shard requests
	MaxAttempts  int    `json:"tries"`            // maximum attempts for one shard request, hedges included
	MaxQueued    int    `json:"queue,omitempty"`  // maximum queries that wait at one daemon; 0 means DefaultMaxQueued
	MaxInFlight  int    `json:"flight,omitempty"` // maximum queries in flight at one daemon; 0 means DefaultMaxInFlight
}

// Defaults for the limits of a Selector, which apply at each daemon separately.
const (
	DefaultMaxQueued   = 64
	DefaultMaxInFlight = 256
)

// Deadline returns DeadlineMs as a duration.
func (s *Selector) Deadline() time.Duration {
	return time.Duration(s.DeadlineMs) * time.Millisecond
}

// A Layout defines how the data of a service is partitioned into shards. Admin
// files in TOML set its fields by their Go names.
type Layout struct {
	Service string `json:"service"`
	Number  int    `json:"number"` // at least 1; a repartition adds the layout with the next number
	Shards  int    `json:"shards"` // number of shards, which are numbered from 0
	Cell    int    `json:"cell"`   // maximum number of shards in one cell
	Blocks  int    `json:"blocks"` // number of blocks that the permits of one cell are split into
}

// NumGroups returns the number of groups of Cell consecutive shards, each of
// which is one cell. The last group may be smaller.
func (l *Layout) NumGroups() int {
	return (l.Shards + l.Cell - 1) / l.Cell
}

// A Block is a part of the connection permits of a cell, owned by one daemon.
type Block struct {
	Owner string `json:"owner"` // identity of the daemon: IP:PORT#START
	Epoch uint64 `json:"epoch"` // ownership epoch; increased when the block is reissued
	Hop   uint64 `json:"hop"`   // increased by each transfer within the epoch
}

// A Cell records which daemons own the connection permits of a group of shards.
// The record may be out of date: the owner of a block transfers it first, and the
// transfer is recorded afterwards.
type Cell struct {
	Service string  `json:"service"`
	Layout  int     `json:"layout"`
	Group   int     `json:"group"` // index of the group within the layout, from 0
	Blocks  []Block `json:"blocks"`
}

// Name returns the object name of the cell.
func (c *Cell) Name() string {
	return CellName(c.Service, c.Layout, c.Group)
}

// CellName returns the object name of the cell for a group of a layout:
// SERVICE.LAYOUT.GROUP.
func CellName(service string, layout, group int) string {
	return fmt.Sprintf("%s.%d.%d", service, layout, group)
}

// LayoutName returns the object name of a layout: SERVICE.NUMBER.
func LayoutName(service string, number int) string {
	return fmt.Sprintf("%s.%d", service, number)
}

// A Claim is the exclusive right to send a booking upstream, which makes sure that
// it is sent at most once. Its outcome is recorded in it later.
type Claim struct {
	Key         string `json:"key"`
	Nonce       string `json:"nonce"`  // identifies the call that created the claim
	Digest      string `json:"digest"` // hash of the booking's content
	Done        bool   `json:"done,omitempty"`
	Result      string `json:"result,omitempty"`
	CreatedUnix int64  `json:"made"` // Unix time in seconds; used only to remove old claims
}

// Decode decodes an object's body from JSON into out. Unknown fields and data after
// the value are errors.
func Decode(body []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("text after the object")
	}
	return nil
}

// SplitTarget splits the target of a Label at the first slash into its kind and
// name. name is empty if there is no slash.
func SplitTarget(target string) (kind, name string) {
	kind, name, _ = strings.Cut(target, "/")
	return kind, name
}

// ValidateAddress returns an error unless address is an IP address with a port.
func ValidateAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%q is not an IP number and a port, like 127.0.0.1:7101", address)
	}
	return nil
}

// validatePositive returns an error unless value is an integer of at least 1.
func validatePositive(value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 {
		return fmt.Errorf("%q is not a whole number from 1", value)
	}
	return nil
}
