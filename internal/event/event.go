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
	Partial       ID = 811
	UpstreamDown  ID = 812
	UpstreamUp    ID = 813
	MemberExpired ID = 814
	LinesHeld     ID = 900
)

// A Kind describes an event.
type Kind struct {
	ID    ID
	Name  string
	Level logrus.Level
	Most  int // lines in a second; 0 sets no bound
}

// Lines in a second of events that come with requests. Failed requests have
// their lines until a daemon fails so many that one tells as much as another.
const (
	failedLines  = 200
	partialLines = 5
	changeLines  = 20
)

// Kinds returns all events in the order of their numbers.
func Kinds() []Kind {
	return []Kind{
		{ID: DaemonStarted, Name: "daemon started", Level: logrus.InfoLevel},
		{ID: DaemonLeaving, Name: "daemon leaving", Level: logrus.InfoLevel},
		{ID: DaemonStopped, Name: "daemon stopped", Level: logrus.InfoLevel},
		{ID: LeaveCut, Name: "work left at the end of a leave", Level: logrus.ErrorLevel},
		{ID: ConfApplied, Name: "configuration in force", Level: logrus.InfoLevel},
		{ID: ConfRefused, Name: "object refused", Level: logrus.ErrorLevel},
		{ID: WatchFailed, Name: "watch failed", Level: logrus.WarnLevel},
		{ID: PullFailed, Name: "pull from peer failed", Level: logrus.WarnLevel},
		{ID: StoreFailed, Name: "record not written", Level: logrus.WarnLevel},
		{ID: ListFailed, Name: "VM list not read", Level: logrus.WarnLevel},
		{ID: BlockTaken, Name: "block taken", Level: logrus.InfoLevel},
		{ID: BlockGiven, Name: "block given", Level: logrus.InfoLevel},
		{ID: GiftFailed, Name: "gift not answered", Level: logrus.WarnLevel},
		{ID: BlockReissued, Name: "block reissued", Level: logrus.WarnLevel},
		{ID: FenceFailed, Name: "fence not granted", Level: logrus.WarnLevel},
		{ID: MemberUp, Name: "member up", Level: logrus.InfoLevel},
		{ID: MemberDown, Name: "member down", Level: logrus.WarnLevel},
		{ID: MemberLeaving, Name: "member leaving", Level: logrus.InfoLevel},
		{ID: ClaimFailed, Name: "claim not made", Level: logrus.WarnLevel},
		{ID: OutcomeLost, Name: "outcome not recorded", Level: logrus.ErrorLevel},
		{ID: ClaimsSwept, Name: "claims swept", Level: logrus.InfoLevel},
		{ID: FilesReread, Name: "certificate re-read", Level: logrus.InfoLevel},
		{ID: FilesFailed, Name: "certificate not re-read", Level: logrus.ErrorLevel},
		{ID: Answered, Name: "request failed", Level: logrus.WarnLevel, Most: failedLines},
		{ID: TableTaken, Name: "routing table in force", Level: logrus.InfoLevel},
		{ID: TableRefused, Name: "routing table refused", Level: logrus.ErrorLevel},
		{ID: RosterChanged, Name: "upstreams changed", Level: logrus.InfoLevel, Most: changeLines},
		{ID: EntryRefused, Name: "registration refused", Level: logrus.WarnLevel, Most: changeLines},
		{ID: SourceLost, Name: "metadata store lost", Level: logrus.WarnLevel},
		{ID: SourceFound, Name: "metadata store regained", Level: logrus.InfoLevel},
		{ID: SettingsRead, Name: "settings read", Level: logrus.InfoLevel},
		{ID: SettingsBad, Name: "settings not read", Level: logrus.ErrorLevel},
		{ID: MembersKnown, Name: "members of the fleet changed", Level: logrus.InfoLevel},
		{ID: MemberFailed, Name: "member record not written", Level: logrus.WarnLevel},
		{ID: Partial, Name: "answer without some shards", Level: logrus.InfoLevel, Most: partialLines},
		{ID: UpstreamDown, Name: "upstream out of use", Level: logrus.WarnLevel, Most: changeLines},
		{ID: UpstreamUp, Name: "upstream in use again", Level: logrus.InfoLevel, Most: changeLines},
		{ID: MemberExpired, Name: "member record expired", Level: logrus.InfoLevel, Most: changeLines},
		{ID: LinesHeld, Name: "lines left out", Level: logrus.WarnLevel},
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
	ID      ID     `json:"event"`
	Name    string `json:"name"`
	Time    string `json:"time"` // RFC 3339
	Step    string `json:"step,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Request string `json:"request,omitempty"` // identity of a caller's request
	Detail  string `json:"detail,omitempty"`
}

// A Log writes events and holds the recent ones. A nil Log drops them.
type Log struct {
	out    *logrus.Logger
	recent *ring.Ring[Record]
	pace   pacer
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
	ok, held := l.pace.allow(k, time.Now())
	if held > 0 {
		l.out.WithField("event", int(LinesHeld)).WithField("detail", held).Log(logrus.WarnLevel, kindOf(LinesHeld).Name)
	}
	if !ok {
		return
	}
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
		ID:      k.ID,
		Name:    k.Name,
		Time:    time.Now().UTC().Format(time.RFC3339Nano),
		Step:    f.Step,
		Peer:    f.Peer,
		Request: f.Request,
		Detail:  detail,
	})
}
