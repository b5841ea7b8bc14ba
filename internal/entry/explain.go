package entry

import (
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A Record describes how one request was answered or refused.
type Record struct {
	ID       string          `json:"id"`
	Kind     string          `json:"kind"` // query, check or book
	Caller   string          `json:"caller"`
	Entry    string          `json:"entry"` // identity of the daemon that answered
	Revision uint64          `json:"rev"`   // revision of the configuration in force
	Took     int64           `json:"took"`  // microseconds
	Sent     int             `json:"sent"`  // attempts sent to upstreams for a query
	Early    bool            `json:"early"` // the last round ended before every cell was done
	Rounds   []Round         `json:"rounds,omitempty"`
	Coverage *query.Coverage `json:"coverage,omitempty"`
	Refusal  *query.Refusal  `json:"refusal,omitempty"`
}

// A Round describes one fan-out of a query.
type Round struct {
	Snapshot query.Snapshot `json:"snapshot"`
	Merged   int            `json:"merged"` // number of shards
	Missed   []query.Miss   `json:"missed,omitempty"`
}

func newRecord(kind string, adm *admission) *Record {
	return &Record{ID: adm.id, Kind: kind, Caller: adm.selector.Caller}
}

func (r *Record) addRound(f *fanOut) {
	c := f.merger.Coverage("late")
	r.Rounds = append(r.Rounds, Round{Snapshot: f.snapshot, Merged: c.Merged, Missed: c.Missed})
	r.Sent += f.sent
	r.Early = f.early
}

// finishRecord completes the record, stores it for explain and updates the metrics.
func (e *Entry) finishRecord(r *Record, adm *admission, a *query.Answer, refusal *query.Refusal) {
	took := time.Since(adm.start)
	r.Entry = e.Self
	r.Revision = e.Config.Revision()
	r.Took = took.Microseconds()
	r.Refusal = refusal
	if a != nil {
		r.Coverage = &a.Coverage
	}
	e.records.Put(*r)
	e.Metrics.observeAnswer(r.Kind, adm.selector, took, a, refusal)
}

// handleExplain returns the newest record of a request ID.
func (e *Entry) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	items := e.records.Items()
	for i := len(items) - 1; i >= 0; i-- {
		if items[i].ID == id {
			writeJSON(w, http.StatusOK, items[i])
			return
		}
	}
	e.writeRefusal(w, &query.Refusal{ID: id, Reason: "no record of this request here", Run: query.RunUnknown, Status: http.StatusNotFound})
}
