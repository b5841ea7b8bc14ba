package setup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/change"
)

const valid = `
address = "127.0.0.1:7001"
peer = "127.0.0.1:7101"
domain = "accra"
objects = "127.0.0.1:7901"
machine = "127.0.0.1:7902"
`

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string // problems; nil if the text is valid
	}{
		{name: "valid", text: valid},
		{name: "unknown key", text: valid + "colour = 1\n", want: []string{"f:7: colour: no such setting"}},
		{name: "host name", text: valid + `peers = ["store.example:1"]`, want: []string{`f:7: peers: "store.example:1" is not an IP number and a port, like 127.0.0.1:7101`}},
		{name: "wrong unit", text: valid + `drain = "7 ells"`, want: []string{`f:7: drain: "7 ells" is not a time with its unit, like 5s or 300ms`}},
		{name: "negative duration", text: valid + `drain = "-7s"`, want: []string{`f:7: drain: "-7s" is below zero`}},
		{name: "negative memory", text: valid + "memory = -1\n", want: []string{"f:7: memory: -1 is below zero"}},
		{name: "incomplete tls", text: valid + "[tls]\ncert = \"c\"\n", want: []string{"f:7: tls: cert, key and root must be set together"}},
		{name: "several problems", text: valid + "log = \"loud\"\ndrain = \"1s\"\n", want: []string{
			`f:7: log: "loud" is not debug, info, warning or error`, "f:8: drain: 1s is not above linger, 5s",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, err := Parse("f", tt.text)
			if tt.want == nil {
				is.NoErr(err)
				is.Equal(time.Duration(s.Linger), defaultLinger)
				return
			}
			var got []string
			for _, p := range err.(Problems) {
				got = append(got, p.String())
			}
			is.Equal(got, tt.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add(valid + "drain = 5")
	f.Add("[[[")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f", text)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v, error %v", s, err)
		}
	})
}

// TestSettingsHaveReloadRules guards against a setting that a reload drops without a word.
func TestSettingsHaveReloadRules(t *testing.T) {
	is := is.New(t)
	is.Equal(change.Unruled(Settings{}), nil)
}

func TestMemoryLimit(t *testing.T) {
	is := is.New(t)
	is.Equal((&Settings{Memory: 64}).MemoryLimit(), int64(64<<20))
	is.True((&Settings{}).MemoryLimit() > 64<<20) // that of the VM
}
