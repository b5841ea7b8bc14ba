package mirror

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/feed"
)

func TestPack(t *testing.T) {
	tests := []struct {
		name   string
		body   []byte
		packed bool
	}{
		{name: "small", body: []byte(`{"a":1}`)},
		{name: "a thousand routes", body: bytes.Repeat([]byte(`{"Name":"r-1","Host":"h.example"}`), 1000), packed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p packer
			o := feed.Object{Name: "o", Revision: 3, Body: tt.body}
			sent := p.encode(o)
			is.Equal(sent.GetPacked(), tt.packed)
			if tt.packed {
				is.True(len(sent.GetBody()) < len(tt.body)/10)
			}
			got, err := unpack(sent)
			is.NoErr(err)
			is.Equal(got, o)
			o.Revision, o.Body = 4, append([]byte("x"), tt.body...)
			got, err = unpack(p.encode(o))
			is.NoErr(err)
			is.Equal(got, o)
		})
	}
}

func TestUnpackDamaged(t *testing.T) {
	is := is.New(t)
	var p packer
	sent := p.encode(feed.Object{Name: "o", Revision: 3, Body: bytes.Repeat([]byte("abcdefgh"), 1000)})
	sent.Body = sent.Body[:len(sent.Body)/2]
	_, err := unpack(sent)
	is.True(err != nil)
}
