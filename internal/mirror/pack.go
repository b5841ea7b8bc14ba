package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/mirror/rpc"
)

// packLeast is the size of a copy in bytes from which it travels packed: a
// configuration with a thousand routes or a thousand registrations, sent to
// thirty daemons that start at the same time, would else fill a small VM's
// link for seconds. Registrations have most of their text in common.
const packLeast = 4 << 10

// maxCopy bounds the bytes of an unpacked copy.
const maxCopy = 64 << 20

// A packer packs copies, and keeps the last of each topic, as many daemons ask
// for the same. The zero value is ready to use.
type packer struct {
	mu   sync.Mutex
	last map[string]packed // by topic
}

// packed is a copy as it travels.
type packed struct {
	since    uint64 // what it leaves out; 0 for a whole copy
	revision uint64
	digest   uint64 // of what the topic held
	body     []byte
}

// encode returns a copy of a topic as it travels. It is whole, or holds what
// changed after since.
func (p *packer) encode(topic string, c feed.Copy, since uint64) (*rpc.Copy, error) {
	out := &rpc.Copy{Topic: topic, Whole: c.Full, Revision: c.Revision, Age: uint32(c.Age.Milliseconds())}
	if c.Full {
		since = 0
	}
	if volume(c.Objects) < packLeast {
		out.Objects = messages(c.Objects)
		return out, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[string]packed)
	}
	k, known := p.last[topic]
	if !known || k.since != since || k.revision != c.Revision || k.digest != c.Digest {
		body, err := pack(c.Objects)
		if err != nil {
			return nil, err
		}
		k = packed{since: since, revision: c.Revision, digest: c.Digest, body: body}
		p.last[topic] = k
	}
	out.Packed = k.body
	return out, nil
}

// volume returns about how many bytes objects are.
func volume(objects []feed.Object) int {
	n := 0
	for _, o := range objects {
		n += len(o.Name) + len(o.Body)
	}
	return n
}

func messages(objects []feed.Object) []*rpc.Object {
	out := make([]*rpc.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, &rpc.Object{Name: o.Name, Revision: o.Revision, Gone: o.Deleted, Body: o.Body})
	}
	return out
}

func pack(objects []feed.Object) ([]byte, error) {
	plain, err := proto.Marshal(&rpc.Batch{Objects: messages(objects)})
	if err != nil {
		return nil, fault.Wrap(err, "pack", "")
	}
	var b bytes.Buffer
	// The level is a valid one, and a bytes.Buffer takes all that is written.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(plain)
	_ = w.Close()
	return b.Bytes(), nil
}

// decode returns the copy of a message.
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
	out.Revision = c.GetRevision()
	for _, o := range objects {
		out.Objects = append(out.Objects, feed.Object{Name: o.GetName(), Revision: o.GetRevision(), Deleted: o.GetGone(), Body: o.GetBody()})
	}
	return out, nil
}

// unpack returns the objects of a packed copy.
func unpack(body []byte) ([]*rpc.Object, error) {
	r := flate.NewReader(bytes.NewReader(body))
	defer r.Close()
	plain, err := io.ReadAll(io.LimitReader(r, maxCopy))
	if err != nil {
		return nil, err
	}
	var b rpc.Batch
	if err := proto.Unmarshal(plain, &b); err != nil {
		return nil, err
	}
	return b.GetObjects(), nil
}
