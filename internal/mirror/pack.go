package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/mirror/rpc"
)

// packLeast is the size of a body in bytes from which it travels packed: a
// configuration with a thousand routes, sent to thirty daemons that start at
// the same time, would else fill a small VM's link for seconds.
const packLeast = 4 << 10

// maxBody bounds the bytes of an unpacked body.
const maxBody = 64 << 20

// A packer packs bodies, and keeps the last of each object, as many daemons
// ask for the same. The zero value is ready to use.
type packer struct {
	mu   sync.Mutex
	last map[string]packed // by object name
}

type packed struct {
	revision uint64
	body     []byte
}

// encode returns an object as it travels.
func (p *packer) encode(o feed.Object) *rpc.Object {
	out := &rpc.Object{Name: o.Name, Revision: o.Revision, Gone: o.Gone, Body: o.Body}
	if len(o.Body) < packLeast {
		return out
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[string]packed)
	}
	k := p.last[o.Name]
	if k.revision != o.Revision {
		k = packed{revision: o.Revision, body: pack(o.Body)}
		p.last[o.Name] = k
	}
	out.Body = k.body
	out.Packed = true
	return out
}

func pack(body []byte) []byte {
	var b bytes.Buffer
	// The level is a valid one, and a bytes.Buffer takes all that is written.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(body)
	_ = w.Close()
	return b.Bytes()
}

// unpack returns the object of a message.
func unpack(o *rpc.Object) (feed.Object, error) {
	out := feed.Object{Name: o.GetName(), Revision: o.GetRevision(), Gone: o.GetGone(), Body: o.GetBody()}
	if !o.GetPacked() {
		return out, nil
	}
	r := flate.NewReader(bytes.NewReader(o.GetBody()))
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r, maxBody))
	out.Body = body
	return out, err
}
