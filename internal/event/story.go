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

// A Line is one log line, as far as a story needs it.
type Line struct {
	Event   int    `json:"event"`
	Time    string `json:"time"` // RFC 3339
	Message string `json:"msg"`
	Request string `json:"request"`
	Class   string `json:"class"`
	Peer    string `json:"peer"`
	Detail  any    `json:"detail"`
	Error   string `json:"error"`

	before string // what stood before the line, such as a daemon's name
}

// maxLine bounds the bytes of one log line.
const maxLine = 1 << 20

// Story writes what the logs of several daemons say of one request: its own
// lines, and those of the upstreams that its lines name, in the order of time.
// Text before a line's brace is kept. It returns how many lines were found.
func Story(w io.Writer, logs io.Reader, request string) (int, error) {
	all, err := readLines(logs)
	if err != nil {
		return 0, err
	}
	var told []Line
	for _, l := range all {
		if l.Request == request || l.Request == "" && named(all, request, l) {
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	for _, l := range told {
		detail := ""
		if l.Detail != nil {
			detail = fmt.Sprint(l.Detail)
		}
		parts := []string{l.Time, l.before, fmt.Sprint(l.Event), l.Message, l.Class, l.Peer, detail, l.Error}
		parts = slices.DeleteFunc(parts, func(s string) bool { return s == "" })
		if _, err := fmt.Fprintln(w, strings.Join(parts, " | ")); err != nil {
			return 0, err
		}
	}
	return len(told), nil
}

// named reports whether a line is about an upstream that the request's own
// lines name.
func named(all []Line, request string, l Line) bool {
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

func readLines(logs io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(logs)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		before, text, ok := strings.Cut(s.Text(), "{")
		if !ok {
			continue
		}
		var l Line
		if err := json.Unmarshal([]byte("{"+text), &l); err != nil {
			// Other programs write to the same place.
			continue
		}
		l.before = strings.TrimSpace(before)
		out = append(out, l)
	}
	return out, s.Err()
}
