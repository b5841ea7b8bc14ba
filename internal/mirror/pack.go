package mirror

import (
	"bytes"
	"compress/flate"
	"sync"

	"google.golang.org/protobuf/proto"

	"bronzedoor.dev/bronzedoor/internal/body"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/mirror/rpc"
)

// minPackSize is the size in bytes from which a copy is sent compressed.
// Without compression a configuration with a thousand routes or a thousand
// registrations, sent to thirty daemons that start at the same time, fills the
// link of a small VM for seconds. Registrations have most of their text in
// common.
const minPackSize = 4 << 10

// maxUnpacked bounds the size of a decompressed copy in bytes.
const maxUnpacked = 64 << 20

// A packer compresses copies. It caches the last one of each topic, as many
// daemons request the same. The zero value is ready to use. It is safe for
// concurrent use.
type packer struct {
	mu   sync.Mutex
	last map[string]packed // by topic
}

// packed is a compressed copy and what it was made from.
type packed struct {
	since    uint64 // the copy holds changes after this revision; 0 for a whole copy
	revision feed.Revision
	digest   uint64 // of the topic's contents
	body     []byte
}

// encode returns the message for a copy of a topic, compressed if it is large.
// The copy is whole, or holds what changed after since.
func (p *packer) encode(topic string, c feed.Copy, since uint64) (*rpc.Copy, error) {
	out := &rpc.Copy{Topic: topic, Whole: c.Full, Revision: uint64(c.Revision), Age: uint32(c.Age.Milliseconds())}
	if c.Full {
		since = 0
	}
	if approxSize(c.Objects) < minPackSize {
		out.Objects = toMessages(c.Objects)
		return out, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[string]packed)
	}
	last, known := p.last[topic]
	if !known || last.since != since || last.revision != c.Revision || last.digest != c.Digest {
		body, err := pack(c.Objects)
		if err != nil {
			return nil, err
		}
		last = packed{since: since, revision: c.Revision, digest: c.Digest, body: body}
		p.last[topic] = last
	}
	out.Packed = last.body
	return out, nil
}

// approxSize returns the approximate size of objects in bytes.
func approxSize(objects []feed.Object) int {
	n := 0
	for _, o := range objects {
		n += len(o.Name) + len(o.Body)
	}
	return n
}

func toMessages(objects []feed.Object) []*rpc.Object {
	out := make([]*rpc.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, &rpc.Object{Name: o.Name, Revision: uint64(o.Revision), Gone: o.Deleted, Body: o.Body})
	}
	return out
}

// pack returns objects as a Batch compressed with DEFLATE.
func pack(objects []feed.Object) ([]byte, error) {
	plain, err := proto.Marshal(&rpc.Batch{Objects: toMessages(objects)})
	if err != nil {
		return nil, fault.Wrap(err, "pack", "")
	}
	var b bytes.Buffer
	// The level is valid, and writes to a bytes.Buffer don't fail.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(plain)
	_ = w.Close()
	return b.Bytes(), nil
}

// decode returns the copy that a message holds.
func decode(c *rpc.Copy) (feed.Copy, error) {
	objects := c.GetObjects()
	if len(c.GetPacked()) > 0 {
		var err error
		objects, err = unpack(c.GetPacked())
		if err != nil {
			return feed.Copy{}, fault.Wrap(err, "unpack", c.GetTopic())
		}
	}
	out := feed.Copy{Full: c.GetWhole(), Age: milliseconds(c.GetAge())}
	out.Revision = feed.Revision(c.GetRevision())
	for _, o := range objects {
		out.Objects = append(out.Objects, feed.Object{Name: o.GetName(), Revision: feed.Revision(o.GetRevision()), Deleted: o.GetGone(), Body: o.GetBody()})
	}
	return out, nil
}

// unpack returns the objects of a compressed Batch. It returns an error if they are
// larger than maxUnpacked.
func unpack(packed []byte) ([]*rpc.Object, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	plain, err := body.Read(r, maxUnpacked)
	if err != nil {
		return nil, err
	}
	var b rpc.Batch
	if err := proto.Unmarshal(plain, &b); err != nil {
		return nil, err
	}
	return b.GetObjects(), nil
}
