package object

import (
	"testing"

	"github.com/matryer/is"
)

func TestValidate(t *testing.T) {
	label := `{"target":"upstream/127.0.0.1:1","pairs":[{"key":"service","value":"s"},{"key":"domain","value":"d"},` +
		`{"key":"layout","value":"1"},{"key":"shard","value":"0"},{"key":"slots","value":"4"},{"key":"conns","value":"35"}]}`
	tests := []struct {
		name string
		o    Object
		want string // first problem; empty for none
	}{
		{name: "label", o: Object{Kind: KindLabel, Name: "upstream/127.0.0.1:1", Body: []byte(label)}},
		{name: "label under another name", o: Object{Kind: KindLabel, Name: "domain/a", Body: []byte(label)},
			want: `target: "upstream/127.0.0.1:1" is not the object's name "domain/a"`},
		{name: "label twice", o: Object{Kind: KindLabel, Name: "domain/a", Body: []byte(`{"target":"domain/a","pairs":[{"key":"k","value":"1"},{"key":"k","value":"2"}]}`)},
			want: "k: stands twice"},
		{name: "unknown field", o: Object{Kind: KindSelector, Name: "c", Body: []byte(`{"colour":1}`)},
			want: `body: json: unknown field "colour"`},
		{name: "not JSON", o: Object{Kind: KindLayout, Name: "c", Body: []byte(`{`)}, want: "body: unexpected EOF"},
		{name: "unknown kind", o: Object{Kind: "claims"}, want: `kind: "claims" is not label, selector, layout or cell`},
		{name: "early after the deadline", o: Object{Kind: KindSelector, Name: "c", Body: []byte(`{"caller":"c","service":"s","deadline":5,"early":6,"floor":0,"tries":1}`)},
			want: "early: 6 is not from 0 to 5 milliseconds (the deadline)"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if ps := Validate(tt.o); len(ps) > 0 {
				got = ps[0].String()
			}
			is.Equal(got, tt.want)
		})
	}
}

// FuzzValidate checks that Validate does not panic on any body and accepts only
// kinds of configuration. Every daemon validates what it reads from the store.
func FuzzValidate(f *testing.F) {
	f.Add("label", "domain/a", []byte(`{"target":"domain/a","pairs":[]}`))
	f.Add("layout", "s.1", []byte(`{"service":"s","number":1,"shards":1,"cell":1,"blocks":1}`))
	f.Add("cell", "s.1.0", []byte(`{"service":"s","layout":1,"group":0,"blocks":[{"owner":"o","epoch":1}]}`))
	f.Fuzz(func(t *testing.T, kind, name string, body []byte) {
		o := Object{Kind: Kind(kind), Name: name, Body: body}
		if Validate(o) == nil && !isConfigKind(o.Kind) {
			t.Fatalf("kind %q passes", kind)
		}
	})
}

// isConfigKind reports whether k is a kind of configuration.
func isConfigKind(k Kind) bool {
	for _, c := range ConfigKinds {
		if c == k {
			return true
		}
	}
	return false
}
