// Package query holds what callers send to bronzedoor and what they get back,
// and a client that sends it.
package query

import (
	"errors"
	"fmt"
)

// Limits of what a caller may send.
const (
	MaxTop  = 1000      // most hits in one answer
	MaxBody = 64 << 10  // bytes of a request body
	MaxText = 8 << 10   // bytes of a text, an item or a booking
	MaxKey  = 256       // bytes of a key or an identity
	MaxWait = 10 * 60e3 // milliseconds of a deadline
)

// A Run says whether a refused request was executed.
type Run string

// The values of Run.
const (
	RunNone    Run = "none"    // certainly not executed
	RunUnknown Run = "unknown" // may have been executed
)

// A Snapshot is one state of a service's data.
type Snapshot struct {
	Layout  int    `json:"layout"`  // number of the partitioning; at least 1
	Version uint64 `json:"version"` // index version; at least 1
}

// A Request asks every shard of a service for its best hits.
type Request struct {
	ID       string    `json:"id,omitempty"`       // made by the entry when empty
	Caller   string    `json:"caller"`             // matched against the selectors
	Text     string    `json:"text"`               // what to search for
	Top      int       `json:"top"`                // hits wanted, from 1 to MaxTop
	Deadline int       `json:"deadline,omitempty"` // milliseconds; 0 leaves it to the selector
	Floor    int       `json:"floor,omitempty"`    // least coverage in percent; 0 leaves it to the selector
	Snapshot *Snapshot `json:"snapshot,omitempty"` // set in a continued listing
	After    *Hit      `json:"after,omitempty"`    // last hit of the page before
}

// A Hit is one document of an answer.
type Hit struct {
	ID    string `json:"id"`
	Score uint64 `json:"score"` // higher is better; ties go to the lower ID
}

// Before reports whether h stands before o: by score, then by ID.
func (h Hit) Before(o Hit) bool {
	if h.Score != o.Score {
		return h.Score > o.Score
	}
	return h.ID < o.ID
}

// A Miss is a shard that is not part of an answer.
type Miss struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

// Coverage says which shards an answer was merged from.
type Coverage struct {
	Shards int    `json:"shards"` // shards of the layout
	Merged int    `json:"merged"` // shards whose hits were merged; Shards less the misses
	Missed []Miss `json:"missed"` // every shard that was not merged, by number
}

// Percent returns the share of merged shards, rounded down.
func (c Coverage) Percent() int {
	if c.Shards == 0 {
		return 0
	}
	return 100 * c.Merged / c.Shards
}

// An Answer is the merged result of a Request.
type Answer struct {
	ID       string   `json:"id"`
	Snapshot Snapshot `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	Hits     []Hit    `json:"hits"`
	More     bool     `json:"more"` // a further page may exist
}

// A Check asks whether one item is free.
type Check struct {
	ID       string `json:"id,omitempty"`
	Caller   string `json:"caller"`
	Item     string `json:"item"`
	Deadline int    `json:"deadline,omitempty"` // milliseconds
}

// A Checked is the result of a Check.
type Checked struct {
	ID       string   `json:"id"`
	Snapshot Snapshot `json:"snapshot"`
	Free     bool     `json:"free"`
}

// A Booking is a request that must run at most once.
type Booking struct {
	ID       string `json:"id,omitempty"`
	Caller   string `json:"caller"`
	Key      string `json:"key,omitempty"` // idempotency key; made by the entry when empty
	Item     string `json:"item"`
	Body     string `json:"body,omitempty"`
	Deadline int    `json:"deadline,omitempty"` // milliseconds
}

// A Booked is the recorded outcome of a Booking.
type Booked struct {
	ID     string `json:"id"`
	Key    string `json:"key"`
	Done   bool   `json:"done"`   // false while the outcome is unknown
	Result string `json:"result"` // empty unless Done
}

// A Refusal is an answer that holds no result. It is an error.
type Refusal struct {
	ID       string    `json:"id"`
	Reason   string    `json:"reason"`
	Run      Run       `json:"run"`
	Key      string    `json:"key,omitempty"` // of a booking
	Coverage *Coverage `json:"coverage,omitempty"`
	Status   int       `json:"-"` // HTTP status
}

// Error returns the reason and whether the request ran.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (run: %s)", r.Reason, r.Run)
}

// Validate returns an error that names the first wrong field.
func (r *Request) Validate() error {
	if err := validate(r.Caller, r.ID, r.Deadline); err != nil {
		return err
	}
	if r.Top < 1 || r.Top > MaxTop {
		return fmt.Errorf("top: %d is not from 1 to %d", r.Top, MaxTop)
	}
	if len(r.Text) > MaxText {
		return fmt.Errorf("text: %d bytes, at most %d", len(r.Text), MaxText)
	}
	if r.Floor < 0 || r.Floor > 100 {
		return fmt.Errorf("floor: %d is not from 0 to 100 percent", r.Floor)
	}
	if r.Snapshot != nil && (r.Snapshot.Layout < 1 || r.Snapshot.Version < 1) {
		return errors.New("snapshot: layout and version start at 1")
	}
	if r.After != nil && r.Snapshot == nil {
		return errors.New("after: a continued listing needs its snapshot")
	}
	return nil
}

// Validate returns an error that names the first wrong field.
func (c *Check) Validate() error {
	if err := validate(c.Caller, c.ID, c.Deadline); err != nil {
		return err
	}
	return validateItem(c.Item)
}

// Validate returns an error that names the first wrong field.
func (b *Booking) Validate() error {
	if err := validate(b.Caller, b.ID, b.Deadline); err != nil {
		return err
	}
	if len(b.Key) > MaxKey {
		return fmt.Errorf("key: %d bytes, at most %d", len(b.Key), MaxKey)
	}
	if len(b.Body) > MaxText {
		return fmt.Errorf("body: %d bytes, at most %d", len(b.Body), MaxText)
	}
	return validateItem(b.Item)
}

func validateItem(item string) error {
	if item == "" || len(item) > MaxText {
		return fmt.Errorf("item: %d bytes, from 1 to %d", len(item), MaxText)
	}
	return nil
}

func validate(caller, id string, deadline int) error {
	if caller == "" || len(caller) > MaxKey {
		return fmt.Errorf("caller: %d bytes, from 1 to %d", len(caller), MaxKey)
	}
	if len(id) > MaxKey {
		return fmt.Errorf("id: %d bytes, at most %d", len(id), MaxKey)
	}
	if deadline < 0 || deadline > MaxWait {
		return fmt.Errorf("deadline: %d is not from 0 to %d milliseconds", deadline, int(MaxWait))
	}
	return nil
}
