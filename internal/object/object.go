// Package object holds the kinds of objects that live in the object API: labels,
// selectors, layouts, cells and claims.
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

// A Kind is a class of objects.
type Kind string

// The kinds that the system uses. All but claims are configuration.
const (
	KindLabel    Kind = "label"
	KindSelector Kind = "selector"
	KindLayout   Kind = "layout"
	KindCell     Kind = "cell"
	KindClaim    Kind = "claim"
)

// Configured are the kinds that every daemon follows.
var Configured = []Kind{KindLabel, KindSelector, KindLayout, KindCell}

// An Object is one stored value.
type Object struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"rev"`            // of the store, set by the last write to this object
	Gone     bool            `json:"gone,omitempty"` // deleted at Revision
	Body     json.RawMessage `json:"body,omitempty"`
}

// A Pair is one label.
type Pair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// A Label is what operators say of a target: "upstream/IP:PORT",
// "domain/NAME" or "vm/IP:PORT".
type Label struct {
	Target string `json:"target"`
	Pairs  []Pair `json:"pairs"` // keys are unique
}

// Keys of labels that the system reads.
const (
	KeyService = "service" // of an upstream
	KeyLayout  = "layout"  // of an upstream: number of its layout
	KeyShard   = "shard"   // of an upstream: number within its layout
	KeyDomain  = "domain"  // of an upstream or a VM
	KeySlots   = "slots"   // of an upstream: requests it serves at a time
	KeyConns   = "conns"   // of an upstream: connections it accepts
	KeyState   = "state"   // of any target: "in" or "out"
)

// StateOut is the value of KeyState that keeps new work away from a target.
const StateOut = "out"

// Value returns the value of key, or "".
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

// A Selector sends a caller's queries to a service under a policy.
type Selector struct {
	Caller   string `json:"caller"`           // caller class that it matches
	Service  string `json:"service"`          // service that it sends to
	Pick     []Pair `json:"pick,omitempty"`   // labels that an upstream must have
	Deadline int    `json:"deadline"`         // milliseconds until the answer is due
	Early    int    `json:"early,omitempty"`  // milliseconds after which Floor is enough; 0 means Deadline
	Floor    int    `json:"floor"`            // least coverage of an answer in percent
	Hedge    int    `json:"hedge,omitempty"`  // extra requests in percent of the parts
	Tries    int    `json:"tries"`            // most requests for one part, hedges included
	Queue    int    `json:"queue,omitempty"`  // requests that may wait at an entry; 0 means DefaultQueue
	Flight   int    `json:"flight,omitempty"` // requests in work at an entry; 0 means DefaultFlight
}

// Defaults of a Selector's bounds at each entry.
const (
	DefaultQueue  = 64
	DefaultFlight = 256
)

// Due returns the selector's deadline.
func (s *Selector) Due() time.Duration {
	return time.Duration(s.Deadline) * time.Millisecond
}

// A Layout partitions a service's data into shards.
type Layout struct {
	Service string `json:"service"`
	Number  int    `json:"number"` // at least 1; a repartition adds the next
	Shards  int    `json:"shards"` // numbered from 0
	Cell    int    `json:"cell"`   // shards in one cell
	Blocks  int    `json:"blocks"` // blocks of permits in one cell
}

// Groups returns the number of cells in the layout.
func (l *Layout) Groups() int {
	return (l.Shards + l.Cell - 1) / l.Cell
}

// A Block is one owner's part of the permits of a cell.
type Block struct {
	Owner string `json:"owner"` // identity of a daemon: IP:PORT#START
	Epoch uint64 `json:"epoch"` // raised when the block is reissued
	Hop   uint64 `json:"hop"`   // raised when an owner gives the block away
}

// A Cell records who holds the permits of a group of shards. The record may
// lag behind the holders: a block moves by its owner's act and is recorded later.
type Cell struct {
	Service string  `json:"service"`
	Layout  int     `json:"layout"`
	Group   int     `json:"group"`
	Blocks  []Block `json:"blocks"`
}

// Name returns the name under which the cell is stored.
func (c *Cell) Name() string {
	return CellName(c.Service, c.Layout, c.Group)
}

// CellName returns the name of a group of a service's layout.
func CellName(service string, layout, group int) string {
	return fmt.Sprintf("%s.%d.%d", service, layout, group)
}

// LayoutName returns the name of a service's layout.
func LayoutName(service string, number int) string {
	return fmt.Sprintf("%s.%d", service, number)
}

// A Claim is the right to send a booking once, and later its outcome.
type Claim struct {
	Key    string `json:"key"`
	Nonce  string `json:"nonce"`  // of the attempt that made the claim
	Digest string `json:"digest"` // of the booking's content
	Done   bool   `json:"done,omitempty"`
	Result string `json:"result,omitempty"`
	Made   int64  `json:"made"` // seconds since 1970, read only by the sweep
}

// Decode reads an object's body strictly: unknown fields are an error.
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

// Split returns the type and the name of a label's target.
func Split(target string) (kind, name string) {
	kind, name, _ = strings.Cut(target, "/")
	return kind, name
}

// ValidAddress reports what is wrong with an address that must be an IP number
// and a port.
func ValidAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%q is not an IP number and a port, like 127.0.0.1:7101", address)
	}
	return nil
}

func positive(value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 {
		return fmt.Errorf("%q is not a whole number from 1", value)
	}
	return nil
}
