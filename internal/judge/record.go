// Package judge checks a record of a run against the promises that callers, upstreams and
// operators rely on. A record holds only what they have seen themselves, and nothing that a
// daemon says of itself. It is a file of JSON lines, so that a run on other machines can be
// judged too.
package judge

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Version is the version of the format of records.
const Version = 1

// A Kind says what an Entry is about, and who has seen it.
type Kind string

// Kinds of entries.
const (
	KindSend    Kind = "send"    // a caller has written the last byte of a request
	KindAnswer  Kind = "answer"  // a caller has an answer, or its connection has ended without one
	KindArrive  Kind = "arrive"  // an upstream has read a request
	KindRun     Kind = "run"     // an upstream begins to work on a request
	KindReply   Kind = "reply"   // an upstream has written a reply, or has broken off
	KindConfig  Kind = "config"  // the store has acknowledged a configuration
	KindState   Kind = "state"   // the store has acknowledged the state of an upstream
	KindZone    Kind = "zone"    // the store has acknowledged the state of a failure domain
	KindSignal  Kind = "signal"  // the operator has sent a signal to a daemon
	KindStart   Kind = "start"   // the operator has started a daemon
	KindHarm    Kind = "harm"    // a disruption of a daemon, an upstream or the store begins
	KindRelease Kind = "release" // all disruptions of a daemon, an upstream or the store end
)

// Store is the name of the store in entries about disruptions.
const Store = "store"

// States of an upstream. Others are those of an upstream that takes work.
const (
	StateDraining = "draining"
	StateGone     = "gone"
)

// StateEvacuated is the state of a failure domain that is to get no requests.
const StateEvacuated = "evacuated"

// Bounds are the times and shares that the promises are about. Times are in ms.
type Bounds struct {
	StableWindow  float64 `json:"stable_window"`  // without a disruption, after which a daemon or the store counts as stable
	Grace         float64 `json:"grace"`          // between SIGTERM and SIGKILL
	LossSlack     float64 `json:"loss_slack"`     // in which a stopping daemon may close a connection with a request that it hasn't passed on
	Drain         float64 `json:"drain"`          // for which an upstream serves after it has left
	Evacuate      float64 `json:"evacuate"`       // after which a failure domain that is evacuated gets no requests
	ConfigApply   float64 `json:"config_apply"`   // after which a configuration is in force
	RollbackSlack float64 `json:"rollback_slack"` // after which no request is handled by a version older than one that was seen
	Recovery      float64 `json:"recovery"`       // after the last disruption, within which requests are served again
	BudgetWindow  float64 `json:"budget_window"`  // over which repeats are counted
	BudgetRatio   float64 `json:"budget_ratio"`   // repeats for each request
	BudgetSlack   float64 `json:"budget_slack"`   // repeats in each window on top of that
}

// A Route is a route of a configuration.
type Route struct {
	Name       string   `json:"name"`
	Host       string   `json:"host"`
	Prefix     string   `json:"prefix"`
	Services   []string `json:"services"`             // of which one serves a request, or each a part if Gather
	Gather     bool     `json:"gather,omitempty"`     // an answer has parts of all services
	MinRatio   float64  `json:"min_ratio,omitempty"`  // share of the parts that an answer needs
	Idempotent bool     `json:"idempotent,omitempty"` // requests may run more than once
	Attempts   int      `json:"attempts"`             // upstreams that one request may be sent to, of each service if Gather
	Timeout    float64  `json:"timeout"`              // ms
}

// An Entry is one line of a record: one thing that a caller, an upstream, the store or the
// operator has seen. Which fields it has depends on its kind.
type Entry struct {
	At       float64 `json:"at"` // ms since the start of the record
	Kind     Kind    `json:"kind"`
	Request  string  `json:"request,omitempty"`  // ID of a request; a caller's repeat has another one
	Daemon   string  `json:"daemon,omitempty"`   // that the caller is connected to, or that has sent to the upstream; empty on arrival for the former
	Upstream string  `json:"upstream,omitempty"` // ID of one start of an upstream
	Service  string  `json:"service,omitempty"`  // of the upstream
	Zone     string  `json:"zone,omitempty"`     // failure domain, also that of the upstream
	Arrival  int     `json:"arrival,omitempty"`  // number of the request at its upstream, to relate entries of KindArrive, KindRun and KindReply

	Host   string  `json:"host,omitempty"`
	Method string  `json:"method,omitempty"`
	Path   string  `json:"path,omitempty"`
	Sum    string  `json:"sum,omitempty"`  // of the body
	Left   float64 `json:"left,omitempty"` // ms that the caller still waits, as the sender says
	Kept   bool    `json:"kept,omitempty"` // the connection has had an answer before

	Status   int      `json:"status,omitempty"`   // of an answer or reply; 0 if it is not complete
	Stamp    string   `json:"stamp,omitempty"`    // by which an upstream marks a reply
	Parts    []string `json:"parts,omitempty"`    // stamps of a gathered answer
	Missing  int      `json:"missing,omitempty"`  // parts that a gathered answer lacks
	GaveUp   bool     `json:"gave_up,omitempty"`  // the caller has closed the connection
	Leaving  bool     `json:"leaving,omitempty"`  // the upstream says that it is leaving
	Pause    float64  `json:"pause,omitempty"`    // ms for which the upstream wants no request
	Rate     float64  `json:"rate,omitempty"`     // requests a second that the upstream takes from all daemons together
	Work     float64  `json:"work,omitempty"`     // ms that the upstream is going to work
	Canceled bool     `json:"canceled,omitempty"` // the upstream has stopped because its connection was closed
	Rejected bool     `json:"rejected,omitempty"` // the upstream says that it hasn't run the request

	Config    int     `json:"config,omitempty"`     // version of a configuration
	Sent      float64 `json:"sent,omitempty"`       // when the operator has sent what the store acknowledges
	Routes    []Route `json:"routes,omitempty"`     // of a configuration
	State     string  `json:"state,omitempty"`      // of an upstream or a failure domain
	Cold      float64 `json:"cold,omitempty"`       // ms that an upstream is cold from now on
	ColdLimit float64 `json:"cold_limit,omitempty"` // requests that it may get in a second while it is cold
	Grace     float64 `json:"grace,omitempty"`      // of SIGTERM, if it isn't that of the bounds
	Signal    string  `json:"signal,omitempty"`     // TERM, KILL, HUP, STOP or CONT
	Target    string  `json:"target,omitempty"`     // of a disruption: a daemon, an upstream or Store

	line int // in the file, from 1
}

// A head is the first line of a record.
type head struct {
	Record int    `json:"record"` // Version
	Bounds Bounds `json:"bounds"`
}

// A tail is the last line of a record. A record without one is cut.
type tail struct {
	Entries *int `json:"entries"` // number of entries
}

// A Record is a whole record.
type Record struct {
	Bounds  Bounds
	Entries []*Entry // by time
}

// A FormatError says in which line a record is not valid.
type FormatError struct {
	Line   int // from 1
	Reason string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
}

// maxLine is the longest line of a record, in bytes.
const maxLine = 1 << 22

// Read reads a record. The error is a *FormatError if the record is not valid or not whole.
func Read(r io.Reader) (*Record, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	var h head
	if !s.Scan() {
		return nil, &FormatError{Line: 1, Reason: "no head"}
	}
	if err := decode(s.Bytes(), &h); err != nil {
		return nil, &FormatError{Line: 1, Reason: err.Error()}
	}
	if h.Record != Version {
		return nil, &FormatError{Line: 1, Reason: fmt.Sprintf("version %d, want %d", h.Record, Version)}
	}
	rec := &Record{Bounds: h.Bounds}
	sent := make(map[string]bool)
	line := 1
	for s.Scan() {
		line++
		var end tail
		if decode(s.Bytes(), &end) == nil && end.Entries != nil {
			return rec, checkEnd(rec, *end.Entries, line, s.Scan())
		}
		e := &Entry{line: line}
		if err := decode(s.Bytes(), e); err != nil {
			return nil, &FormatError{Line: line, Reason: err.Error()}
		}
		if n := len(rec.Entries); n > 0 && e.At < rec.Entries[n-1].At {
			return nil, &FormatError{Line: line, Reason: fmt.Sprintf("time %v is before that of the line above", e.At)}
		}
		if !e.known() {
			return nil, &FormatError{Line: line, Reason: fmt.Sprintf("unknown kind %q", e.Kind)}
		}
		if e.Kind == KindSend {
			if sent[e.Request] {
				return nil, &FormatError{Line: line, Reason: fmt.Sprintf("request %q is sent twice: a caller's repeat needs an ID of its own", e.Request)}
			}
			sent[e.Request] = true
		}
		rec.Entries = append(rec.Entries, e)
	}
	if err := s.Err(); err != nil {
		return nil, &FormatError{Line: line + 1, Reason: err.Error()}
	}
	return nil, &FormatError{Line: line, Reason: "the record is cut: its last line doesn't count the entries"}
}

// checkEnd checks the last line of a record.
func checkEnd(rec *Record, count, line int, more bool) error {
	if more {
		return &FormatError{Line: line + 1, Reason: "entries after the last line"}
	}
	if count != len(rec.Entries) {
		return &FormatError{Line: line, Reason: fmt.Sprintf("%d entries, want %d: lines are missing", len(rec.Entries), count)}
	}
	return nil
}

// decode decodes a line, which must not have fields that v doesn't have.
func decode(line []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("more than one value")
	}
	return nil
}

func (e *Entry) known() bool {
	switch e.Kind {
	case KindSend, KindAnswer, KindArrive, KindRun, KindReply, KindConfig, KindState, KindZone, KindSignal, KindStart, KindHarm, KindRelease:
		return true
	}
	return false
}

// A Recorder writes a record. It is safe for concurrent use. Use NewRecorder to create one.
type Recorder struct {
	mu      sync.Mutex
	out     *bufio.Writer
	begun   time.Time
	entries int
	err     error
}

// NewRecorder returns a recorder that writes to w.
func NewRecorder(w io.Writer, b Bounds) *Recorder {
	r := &Recorder{out: bufio.NewWriter(w), begun: time.Now()}
	r.write(head{Record: Version, Bounds: b})
	return r
}

// Add sets the time of an entry to now, and adds the entry to the record.
func (r *Recorder) Add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.Ms(time.Now())
	r.entries++
	r.write(&e)
}

// Ms returns a time as entries give it.
func (r *Recorder) Ms(t time.Time) float64 {
	return float64(t.Sub(r.begun).Microseconds()) / 1000
}

func (r *Recorder) write(v any) {
	b, err := json.Marshal(v)
	if err == nil {
		_, err = r.out.Write(append(b, '\n'))
	}
	if r.err == nil {
		r.err = err
	}
}

// Close completes the record and returns the first error in writing it.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(tail{Entries: &r.entries})
	if err := r.out.Flush(); r.err == nil {
		r.err = err
	}
	return r.err
}
