// Package event logs what a daemon did, as numbered events. docs/EVENTS.md
// lists them.
package event

import (
	"time"

	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/ring"
)

// An ID is the number of an event. Numbers are never used again.
type ID int

// The events.
const (
	DaemonStarted ID = 100
	DaemonLeaving ID = 101
	DaemonStopped ID = 102
	LeaveCut      ID = 103
	ConfApplied   ID = 200
	ConfRefused   ID = 201
	WatchFailed   ID = 202
	PullFailed    ID = 203
	StoreFailed   ID = 300
	ListFailed    ID = 301
	BlockTaken    ID = 400
	BlockGiven    ID = 401
	GiftFailed    ID = 402
	BlockReissued ID = 403
	FenceFailed   ID = 404
	MemberUp      ID = 500
	MemberDown    ID = 501
	MemberLeaving ID = 502
	ClaimFailed   ID = 600
	OutcomeLost   ID = 601
	ClaimsSwept   ID = 602
	FilesReread   ID = 700
	FilesFailed   ID = 701
	Answered      ID = 800
	TableTaken    ID = 801
	TableRefused  ID = 802
	RosterChanged ID = 803
	EntryRefused  ID = 804
	SourceLost    ID = 805
	SourceFound   ID = 806
	SettingsRead  ID = 807
	SettingsBad   ID = 808
	MembersKnown  ID = 809
	MemberFailed  ID = 810
)

// A Kind describes an event.
type Kind struct {
	ID    ID
	Name  string
	Level logrus.Level
}

// Kinds returns all events in the order of their numbers.
func Kinds() []Kind {
	return []Kind{
		{DaemonStarted, "daemon started", logrus.InfoLevel},
		{DaemonLeaving, "daemon leaving", logrus.InfoLevel},
		{DaemonStopped, "daemon stopped", logrus.InfoLevel},
		{LeaveCut, "work left at the end of a leave", logrus.ErrorLevel},
		{ConfApplied, "configuration in force", logrus.InfoLevel},
		{ConfRefused, "object refused", logrus.ErrorLevel},
		{WatchFailed, "watch failed", logrus.WarnLevel},
		{PullFailed, "pull from peer failed", logrus.WarnLevel},
		{StoreFailed, "record not written", logrus.WarnLevel},
		{ListFailed, "VM list not read", logrus.WarnLevel},
		{BlockTaken, "block taken", logrus.InfoLevel},
		{BlockGiven, "block given", logrus.InfoLevel},
		{GiftFailed, "gift not answered", logrus.WarnLevel},
		{BlockReissued, "block reissued", logrus.WarnLevel},
		{FenceFailed, "fence not granted", logrus.WarnLevel},
		{MemberUp, "member up", logrus.InfoLevel},
		{MemberDown, "member down", logrus.WarnLevel},
		{MemberLeaving, "member leaving", logrus.InfoLevel},
		{ClaimFailed, "claim not made", logrus.WarnLevel},
		{OutcomeLost, "outcome not recorded", logrus.ErrorLevel},
		{ClaimsSwept, "claims swept", logrus.InfoLevel},
		{FilesReread, "certificate re-read", logrus.InfoLevel},
		{FilesFailed, "certificate not re-read", logrus.ErrorLevel},
		{Answered, "answer without a whole success", logrus.WarnLevel},
		{TableTaken, "routing table in force", logrus.InfoLevel},
		{TableRefused, "routing table refused", logrus.ErrorLevel},
		{RosterChanged, "upstreams changed", logrus.InfoLevel},
		{EntryRefused, "registration refused", logrus.WarnLevel},
		{SourceLost, "metadata store lost", logrus.WarnLevel},
		{SourceFound, "metadata store regained", logrus.InfoLevel},
		{SettingsRead, "settings read", logrus.InfoLevel},
		{SettingsBad, "settings not read", logrus.ErrorLevel},
		{MembersKnown, "members of the fleet changed", logrus.InfoLevel},
		{MemberFailed, "member record not written", logrus.WarnLevel},
	}
}

// Fields are what an event says besides its number. Empty ones are left out.
type Fields struct {
	Step    string
	Peer    string
	Request string // identity of a caller's request
	Class   string // caller class, or route
	Detail  string
	Err     error
}

// keep is the number of recent events that a Log holds.
const keep = 256

// A Record is one event that happened.
type Record struct {
	ID     ID     `json:"event"`
	Name   string `json:"name"`
	Time   string `json:"time"` // RFC 3339
	Step   string `json:"step,omitempty"`
	Peer   string `json:"peer,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// A Log writes events and holds the recent ones. A nil Log drops them.
type Log struct {
	out    *logrus.Logger
	recent *ring.Ring[Record]
}

// New returns a log that writes to out.
func New(out *logrus.Logger) *Log {
	return &Log{out: out, recent: ring.New[Record](keep)}
}

// kindOf finds an event's description.
func kindOf(id ID) Kind {
	for _, k := range Kinds() {
		if k.ID == id {
			return k
		}
	}
	return Kind{ID: id, Name: "unknown", Level: logrus.ErrorLevel}
}

// Emit logs one event.
func (l *Log) Emit(id ID, f Fields) {
	if l == nil {
		return
	}
	k := kindOf(id)
	e := l.out.WithField("event", int(id))
	for _, p := range []struct{ key, value string }{
		{"step", f.Step}, {"peer", f.Peer}, {"request", f.Request}, {"class", f.Class}, {"detail", f.Detail},
	} {
		if p.value != "" {
			e = e.WithField(p.key, p.value)
		}
	}
	if f.Err != nil {
		e = e.WithError(f.Err)
	}
	e.Log(k.Level, k.Name)
	l.remember(k, f)
}

// Recent returns the recent events, oldest first.
func (l *Log) Recent() []Record {
	if l == nil {
		return nil
	}
	return l.recent.Items()
}

func (l *Log) remember(k Kind, f Fields) {
	detail := f.Detail
	if f.Err != nil {
		detail += ": " + f.Err.Error()
	}
	l.recent.Put(Record{
		ID:     k.ID,
		Name:   k.Name,
		Time:   time.Now().UTC().Format(time.RFC3339Nano),
		Step:   f.Step,
		Peer:   f.Peer,
		Detail: detail,
	})
}
