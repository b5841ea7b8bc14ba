package entry

import (
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A Record explains one answer.
type Record struct {
	ID       string          `json:"id"`
	Kind     string          `json:"kind"` // query, check or book
	Caller   string          `json:"caller"`
	Entry    string          `json:"entry"`
	Revision uint64          `json:"rev"`   // configuration that was in force
	Took     int64           `json:"took"`  // microseconds
	Sent     int             `json:"sent"`  // requests to upstreams
	Early    bool            `json:"early"` // answered before every cell had replied
	Rounds   []Round         `json:"rounds,omitempty"`
	Coverage *query.Coverage `json:"coverage,omitempty"`
	Refusal  *query.Refusal  `json:"refusal,omitempty"`
}

// A Round is one fan-out of a query.
type Round struct {
	Snapshot query.Snapshot `json:"snapshot"`
	Merged   int            `json:"merged"`
	Missed   []query.Miss   `json:"missed,omitempty"`
}

func newRecord(kind string, t *ticket) *Record {
	return &Record{ID: t.id, Kind: kind, Caller: t.selector.Caller}
}

func (r *Record) round(f *fan) {
	c := f.merge.Coverage("late")
	r.Rounds = append(r.Rounds, Round{Snapshot: f.snapshot, Merged: c.Merged, Missed: c.Missed})
	r.Sent += f.sent
	r.Early = f.early
}

// keep stores the record and counts the answer.
func (e *Entry) keep(r *Record, t *ticket, a *query.Answer, refusal *query.Refusal) {
	took := time.Since(t.begun)
	r.Entry = e.Self
	r.Revision = e.Book.Revision()
	r.Took = took.Microseconds()
	r.Refusal = refusal
	if a != nil {
		r.Coverage = &a.Coverage
	}
	e.records.Put(*r)
	e.Metrics.answered(r.Kind, t.selector, took, a, refusal)
}

func (e *Entry) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	items := e.records.Items()
	for i := len(items) - 1; i >= 0; i-- {
		if items[i].ID == id {
			respond(w, http.StatusOK, items[i])
			return
		}
	}
	e.refuse(w, &query.Refusal{ID: id, Reason: "no record of this request here", Run: query.RunUnknown, Status: http.StatusNotFound})
}
