// Package event writes a daemon's log as numbered events, which docs/EVENTS.md
// lists.
package event

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/ring"
)

// An ID is the number of an event. The number of a removed event is not reused.
type ID int

// The IDs of all events.
const (
	DaemonStarted        ID = 100
	DaemonLeaving        ID = 101
	DaemonStopped        ID = 102
	DrainIncomplete      ID = 103
	ConfApplied          ID = 200
	ObjectRejected       ID = 201
	WatchFailed          ID = 202
	FetchFailed          ID = 203
	RecordWriteFailed    ID = 300
	VMListFailed         ID = 301
	BlockTaken           ID = 400
	BlockTransferred     ID = 401
	TransferFailed       ID = 402
	BlockReissued        ID = 403
	FenceFailed          ID = 404
	MemberUp             ID = 500
	MemberDown           ID = 501
	MemberLeaving        ID = 502
	ClaimFailed          ID = 600
	OutcomeLost          ID = 601
	ClaimsExpired        ID = 602
	CertReloaded         ID = 700
	CertReloadFailed     ID = 701
	RequestFailed        ID = 800
	TableApplied         ID = 801
	TableRejected        ID = 802
	UpstreamsChanged     ID = 803
	RegistrationRejected ID = 804
	StoreLost            ID = 805
	StoreRegained        ID = 806
	SettingsReloaded     ID = 807
	SettingsInvalid      ID = 808
	MembersChanged       ID = 809
	MemberWriteFailed    ID = 810
	PartialAnswer        ID = 811
	UpstreamDown         ID = 812
	UpstreamUp           ID = 813
	MemberExpired        ID = 814
	RateLimitChanged     ID = 815
	StoreBehind          ID = 816
	StoreRestored        ID = 817
	FirstAnswer          ID = 818
	SettingNotInForce    ID = 819
	UpstreamLeaving      ID = 820
	UpstreamPaused       ID = 821
	CallerRefused        ID = 822
	LinesSuppressed      ID = 900
)

// A Kind describes all events with one ID.
type Kind struct {
	ID           ID
	Name         string
	Level        logrus.Level
	MaxPerSecond int // most log lines per second; 0 means no limit
}

// Limits, in lines per second, for events whose rate grows with the load. The
// limit for failed requests is high, so that in general each has its line; beyond
// it, further lines add no information.
const (
	maxFailedPerSecond  = 200
	maxPartialPerSecond = 5
	maxChangesPerSecond = 20
	maxBehindPerSecond  = 1
	maxCallersPerSecond = 5
)

// Kinds returns the kinds of all events, in ascending order of their IDs.
func Kinds() []Kind {
	return []Kind{
		{ID: DaemonStarted, Name: "daemon started", Level: logrus.InfoLevel},
		{ID: DaemonLeaving, Name: "daemon leaving", Level: logrus.InfoLevel},
		{ID: DaemonStopped, Name: "daemon stopped", Level: logrus.InfoLevel},
		{ID: DrainIncomplete, Name: "work left at the end of a leave", Level: logrus.ErrorLevel},
		{ID: ConfApplied, Name: "configuration in force", Level: logrus.InfoLevel},
		{ID: ObjectRejected, Name: "object refused", Level: logrus.ErrorLevel},
		{ID: WatchFailed, Name: "watch failed", Level: logrus.WarnLevel},
		{ID: FetchFailed, Name: "pull from peer failed", Level: logrus.WarnLevel},
		{ID: RecordWriteFailed, Name: "record not written", Level: logrus.WarnLevel},
		{ID: VMListFailed, Name: "VM list not read", Level: logrus.WarnLevel},
		{ID: BlockTaken, Name: "block taken", Level: logrus.InfoLevel},
		{ID: BlockTransferred, Name: "block given", Level: logrus.InfoLevel},
		{ID: TransferFailed, Name: "gift not answered", Level: logrus.WarnLevel},
		{ID: BlockReissued, Name: "block reissued", Level: logrus.WarnLevel},
		{ID: FenceFailed, Name: "fence not granted", Level: logrus.WarnLevel},
		{ID: MemberUp, Name: "member up", Level: logrus.InfoLevel},
		{ID: MemberDown, Name: "member down", Level: logrus.WarnLevel},
		{ID: MemberLeaving, Name: "member leaving", Level: logrus.InfoLevel},
		{ID: ClaimFailed, Name: "claim not made", Level: logrus.WarnLevel},
		{ID: OutcomeLost, Name: "outcome not recorded", Level: logrus.ErrorLevel},
		{ID: ClaimsExpired, Name: "claims swept", Level: logrus.InfoLevel},
		{ID: CertReloaded, Name: "certificate re-read", Level: logrus.InfoLevel},
		{ID: CertReloadFailed, Name: "certificate not re-read", Level: logrus.ErrorLevel},
		{ID: RequestFailed, Name: "request failed", Level: logrus.WarnLevel, MaxPerSecond: maxFailedPerSecond},
		{ID: TableApplied, Name: "routing table in force", Level: logrus.InfoLevel},
		{ID: TableRejected, Name: "routing table refused", Level: logrus.ErrorLevel},
		{ID: UpstreamsChanged, Name: "upstreams changed", Level: logrus.InfoLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: RegistrationRejected, Name: "registration refused", Level: logrus.WarnLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: StoreLost, Name: "metadata store lost", Level: logrus.WarnLevel},
		{ID: StoreRegained, Name: "metadata store regained", Level: logrus.InfoLevel},
		{ID: SettingsReloaded, Name: "settings read", Level: logrus.InfoLevel},
		{ID: SettingsInvalid, Name: "settings not read", Level: logrus.ErrorLevel},
		{ID: MembersChanged, Name: "members of the fleet changed", Level: logrus.InfoLevel},
		{ID: MemberWriteFailed, Name: "member record not written", Level: logrus.WarnLevel},
		{ID: PartialAnswer, Name: "answer without some shards", Level: logrus.InfoLevel, MaxPerSecond: maxPartialPerSecond},
		{ID: UpstreamDown, Name: "upstream out of use", Level: logrus.WarnLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: UpstreamUp, Name: "upstream in use again", Level: logrus.InfoLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: MemberExpired, Name: "member record expired", Level: logrus.InfoLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: RateLimitChanged, Name: "rate limit of an upstream changed", Level: logrus.InfoLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: StoreBehind, Name: "metadata store behind", Level: logrus.WarnLevel, MaxPerSecond: maxBehindPerSecond},
		{ID: StoreRestored, Name: "metadata store restored", Level: logrus.WarnLevel},
		{ID: FirstAnswer, Name: "first complete answer", Level: logrus.InfoLevel},
		{ID: SettingNotInForce, Name: "setting not in force", Level: logrus.ErrorLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: UpstreamLeaving, Name: "upstream leaving", Level: logrus.InfoLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: UpstreamPaused, Name: "upstream asks for a pause", Level: logrus.InfoLevel, MaxPerSecond: maxChangesPerSecond},
		{ID: CallerRefused, Name: "caller refused", Level: logrus.WarnLevel, MaxPerSecond: maxCallersPerSecond},
		{ID: LinesSuppressed, Name: "lines left out", Level: logrus.WarnLevel},
	}
}

// Fields are the optional fields of an event's log line. Empty ones are omitted.
type Fields struct {
	Step    string // operation that the event belongs to
	Peer    string // address or ID of the other side
	Request string // ID of a caller's request
	Class   string // caller class or route
	Detail  string
	Err     error
}

// Sizes in bytes above which texts are cut: callers choose some of them, like the IDs of their
// requests and the hosts that they ask for.
const (
	maxField  = 256
	maxDetail = 4 << 10 // also of an error
)

// cut returns the fields with all texts within their sizes. An error becomes a text.
func (f Fields) cut() cutFields {
	c := cutFields{
		step:    cut(f.Step, maxField),
		peer:    cut(f.Peer, maxField),
		request: cut(f.Request, maxField),
		class:   cut(f.Class, maxField),
		detail:  cut(f.Detail, maxDetail),
	}
	if f.Err != nil {
		c.err = cut(f.Err.Error(), maxDetail)
	}
	return c
}

// cutFields are Fields of bounded size.
type cutFields struct {
	step, peer, request, class, detail, err string
}

// cut returns the first n bytes of a longer text, and its size.
func cut(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return fmt.Sprintf("%s... (%d bytes)", s[:n], len(s))
}

// recentEvents is the number of events that a Log keeps in memory.
const recentEvents = 256

// A Record is an event that was logged, as the status of a daemon shows it.
type Record struct {
	ID      ID     `json:"event"`
	Name    string `json:"name"`
	Time    string `json:"time"` // RFC 3339
	Step    string `json:"step,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Request string `json:"request,omitempty"` // ID of a caller's request
	Detail  string `json:"detail,omitempty"`
}

// A Log writes events and keeps the most recent ones in memory. It is safe for
// concurrent use. A nil Log discards all events.
type Log struct {
	logger  *logrus.Logger
	recent  *ring.Ring[Record]
	limiter rateLimiter
}

// New returns a Log that writes to logger.
func New(logger *logrus.Logger) *Log {
	return &Log{logger: logger, recent: ring.New[Record](recentEvents)}
}

// kindByID holds the kinds of all events.
var kindByID = indexKinds()

func indexKinds() map[ID]Kind {
	kinds := make(map[ID]Kind)
	for _, k := range Kinds() {
		kinds[k.ID] = k
	}
	return kinds
}

// kindOf returns the kind with the given ID, or a kind named "unknown".
func kindOf(id ID) Kind {
	if k, ok := kindByID[id]; ok {
		return k
	}
	return Kind{ID: id, Name: "unknown", Level: logrus.ErrorLevel}
}

// Emit logs one event, unless its kind has reached its limit for the current
// second. The first line of a later second is preceded by the number of lines
// that were suppressed.
func (l *Log) Emit(id ID, f Fields) {
	if l == nil {
		return
	}
	k := kindOf(id)
	ok, suppressed := l.limiter.allow(k, time.Now())
	if suppressed > 0 {
		l.logger.WithField("event", int(LinesSuppressed)).WithField("detail", suppressed).Log(logrus.WarnLevel, kindOf(LinesSuppressed).Name)
	}
	if !ok {
		return
	}
	c := f.cut()
	e := l.logger.WithField("event", int(id))
	for _, p := range []struct{ key, value string }{
		{"step", c.step}, {"peer", c.peer}, {"request", c.request}, {"class", c.class}, {"detail", c.detail}, {logrus.ErrorKey, c.err},
	} {
		if p.value != "" {
			e = e.WithField(p.key, p.value)
		}
	}
	e.Log(k.Level, k.Name)
	l.addRecent(k, c)
}

// Recent returns the most recent events, oldest first. Suppressed ones are not
// among them.
func (l *Log) Recent() []Record {
	if l == nil {
		return nil
	}
	return l.recent.Items()
}

func (l *Log) addRecent(k Kind, c cutFields) {
	detail := c.detail
	if c.err != "" {
		detail += ": " + c.err
	}
	l.recent.Put(Record{
		ID:      k.ID,
		Name:    k.Name,
		Time:    time.Now().UTC().Format(time.RFC3339Nano),
		Step:    c.step,
		Peer:    c.peer,
		Request: c.request,
		Detail:  detail,
	})
}
