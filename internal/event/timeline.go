package event

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// A Line holds the fields of a log line that WriteTimeline uses.
type Line struct {
	Event   int    `json:"event"`
	Time    string `json:"time"` // RFC 3339
	Message string `json:"msg"`
	Request string `json:"request"`
	Class   string `json:"class"`
	Peer    string `json:"peer"`
	Detail  any    `json:"detail"`
	Error   string `json:"error"`

	prefix string // text before the JSON object, such as the daemon's name
}

// maxLineBytes is the longest log line that can be read, in bytes.
const maxLineBytes = 1 << 20

// WriteTimeline reads the logs of several daemons and writes the lines about one
// request in order of time: those with its ID, and those that report an upstream
// named by them as down or up. Text before a line's JSON object is kept. It returns the
// number of lines found.
func WriteTimeline(w io.Writer, logs io.Reader, request string) (int, error) {
	all, err := readLines(logs)
	if err != nil {
		return 0, err
	}
	var selected []Line
	for _, l := range all {
		if l.Request == request || l.Request == "" && concernsUpstreamOf(all, request, l) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	for _, l := range selected {
		detail := ""
		if l.Detail != nil {
			detail = fmt.Sprint(l.Detail)
		}
		columns := []string{l.Time, l.prefix, fmt.Sprint(l.Event), l.Message, l.Class, l.Peer, detail, l.Error}
		columns = slices.DeleteFunc(columns, func(s string) bool { return s == "" })
		if _, err := fmt.Fprintln(w, strings.Join(columns, " | ")); err != nil {
			return 0, err
		}
	}
	return len(selected), nil
}

// concernsUpstreamOf reports whether l says that an upstream went down or up which
// a line of the request names.
func concernsUpstreamOf(all []Line, request string, l Line) bool {
	if l.Event != int(UpstreamDown) && l.Event != int(UpstreamUp) {
		return false
	}
	text := fmt.Sprint(l.Detail)
	id := text[:strings.IndexAny(text+" ", ": ")]
	for _, o := range all {
		if o.Request == request && id != "" && strings.Contains(fmt.Sprint(o.Detail), id) {
			return true
		}
	}
	return false
}

// readLines returns the lines that contain a JSON object and skips all others.
func readLines(logs io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(logs)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		prefix, text, ok := strings.Cut(s.Text(), "{")
		if !ok {
			continue
		}
		var l Line
		if err := json.Unmarshal([]byte("{"+text), &l); err != nil {
			// Other programs may write to the same log.
			continue
		}
		l.prefix = strings.TrimSpace(prefix)
		lines = append(lines, l)
	}
	return lines, s.Err()
}
