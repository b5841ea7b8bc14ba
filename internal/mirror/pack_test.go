package mirror

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"bronzedoor.dev/bronzedoor/internal/body"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/mirror/rpc"
)

// registrations returns a whole copy of n objects that have most of their text in
// common.
func registrations(n int) feed.Copy {
	c := feed.Copy{Full: true, Age: 20 * time.Millisecond}
	c.Revision = feed.Revision(n)
	for i := range n {
		name := fmt.Sprint("upstream", i)
		c.Objects = append(c.Objects, feed.Object{Name: name, Revision: feed.Revision(i), Body: fmt.Appendf(nil, registrationFormat, name, i%90, i%3, i%7, i, 977*i, 1000*i)})
	}
	return c
}

func TestPack(t *testing.T) {
	long := registrations(0)
	long.Objects = []feed.Object{{Name: "o", Revision: 3, Body: bytes.Repeat([]byte(`{"Name":"r-1","Host":"h.example"}`), 1000)}}
	tests := []struct {
		name   string
		copy   feed.Copy
		packed bool
	}{
		{name: "small", copy: registrations(2)},
		{name: "a thousand routes", copy: long, packed: true},
		{name: "two hundred registrations", copy: registrations(200), packed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p packer
			c := tt.copy
			sent, err := p.encode("t", c, 0)
			is.NoErr(err)
			is.Equal(len(sent.GetPacked()) > 0, tt.packed)
			if tt.packed {
				is.Equal(len(sent.GetObjects()), 0)
				is.True(len(sent.GetPacked()) < approxSize(c.Objects)/5)
			}
			got, err := decode(sent)
			is.NoErr(err)
			is.Equal(got, c)
		})
	}
}

// TestPackCache checks that a cached copy is not returned for a copy that
// differs in range or digest.
func TestPackCache(t *testing.T) {
	is := is.New(t)
	var p packer
	whole := registrations(200)
	part := whole
	part.Full = false
	part.Objects = whole.Objects[100:]
	other := registrations(200)
	other.Digest = 1 // lacks a change, at the same revision
	other.Objects = other.Objects[:150]
	tests := []struct {
		copy  feed.Copy
		since uint64
	}{
		{copy: whole, since: 0},
		{copy: part, since: 99},
		{copy: whole, since: 200},
		{copy: other, since: 0},
		{copy: other, since: 0},
	}
	for _, tt := range tests {
		sent, err := p.encode("t", tt.copy, tt.since)
		is.NoErr(err)
		got, err := decode(sent)
		is.NoErr(err)
		got.Digest = tt.copy.Digest
		is.Equal(got, tt.copy)
	}
}

func TestUnpackTruncated(t *testing.T) {
	is := is.New(t)
	var p packer
	sent, err := p.encode("t", registrations(200), 0)
	is.NoErr(err)
	sent.Packed = sent.Packed[:len(sent.Packed)/2]
	_, err = decode(sent)
	is.True(err != nil)
}

// FuzzCopy decodes arbitrary messages of a peer: a copy that is accepted and
// encoded again decodes to the same copy.
func FuzzCopy(f *testing.F) {
	var p packer
	for _, c := range []feed.Copy{registrations(2), registrations(200)} {
		sent, err := p.encode("t", c, 0)
		is.New(f).NoErr(err)
		b, err := proto.Marshal(sent)
		is.New(f).NoErr(err)
		f.Add(b)
	}
	f.Add([]byte{0x32, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var c rpc.Copy
		if proto.Unmarshal(b, &c) != nil {
			return
		}
		got, err := decode(&c)
		if err != nil {
			return
		}
		var p packer
		sent, err := p.encode(c.GetTopic(), got, 0)
		if err != nil {
			return
		}
		again, err := decode(sent)
		is.New(t).NoErr(err)
		is.New(t).Equal(again, got)
	})
}

// TestUnpackTooLarge decompresses more than is allowed. What was cut off there once
// looked like a whole batch of fewer objects, or like a broken message.
func TestUnpackTooLarge(t *testing.T) {
	packed, err := pack([]feed.Object{{Name: "o", Body: make([]byte, maxUnpacked)}})
	is := is.New(t)
	is.NoErr(err)
	_, err = unpack(packed)
	var long *body.TooLongError
	is.True(errors.As(err, &long))
}
