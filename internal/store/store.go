// Package store is a client of the platform's object API and of its VM list.
//
// The object API speaks HTTP and JSON. GET and PUT of
// /v1/objects/KIND/NAME read and write one object; its ETag is its revision,
// and If-Match or If-None-Match make a write conditional. GET of
// /v1/objects?kinds=A,B&since=REV&limit=N&wait=MS lists the objects that were
// written after a revision, in the order of their revisions, and waits for one.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/pace"
)

// Errors that callers ask for with errors.Is.
var (
	// ErrConflict says that the object is not at the expected revision.
	ErrConflict = errors.New("conflict: the object has changed")
	// ErrMissing says that there is no such object.
	ErrMissing = errors.New("no such object")
	// ErrUnsure says that a write may have taken effect.
	ErrUnsure = errors.New("the write may have taken effect")
)

// maxReply bounds the bytes of one answer of the platform.
const maxReply = 16 << 20

// A List is a page of objects in the order of their revisions.
type List struct {
	Objects  []object.Object `json:"objects"`
	Revision uint64          `json:"rev"`  // complete up to here
	More     bool            `json:"more"` // a further page exists
}

// A VM is one machine in the platform's list.
type VM struct {
	Address string `json:"address"`         // IP number and port of its daemon
	Start   string `json:"start"`           // start identity
	Domain  string `json:"domain"`          // failure domain
	State   string `json:"state,omitempty"` // "live" or "leaving"
}

// Identity returns the name of this start of the VM's daemon.
func (v VM) Identity() string {
	return v.Address + "#" + v.Start
}

// VMs is one version of the platform's list.
type VMs struct {
	Version uint64 `json:"version"` // later lists have higher versions
	VMs     []VM   `json:"vms"`
}

// Has reports whether the list names this start of the VM.
func (l *VMs) Has(identity string) bool {
	for _, v := range l.VMs {
		if v.Identity() == identity {
			return true
		}
	}
	return false
}

// A Client talks to the object API and the VM list. It is safe for concurrent use.
type Client struct {
	Objects string        // IP number and port of the object API
	Machine string        // IP number and port of the VM list
	HTTP    *http.Client  // not nil
	Timeout time.Duration // of one call, a watch's wait not counted; above 0
}

// Get returns one object. A missing one is ErrMissing.
func (c *Client) Get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	var o object.Object
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	err := c.call(ctx, "get", http.MethodGet, c.path(kind, name), nil, "", &o)
	return o, err
}

// Put writes an object if it is still at o.Revision; 0 means that it must not
// exist. It returns the new revision. ErrConflict says that it was not written
// by this call; ErrUnsure that it may have been.
func (c *Client) Put(ctx context.Context, o object.Object) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var out object.Object
	method := http.MethodPut
	if o.Gone {
		method = http.MethodDelete
	}
	err := c.call(ctx, "put", method, c.path(o.Kind, o.Name), o.Body, strconv.FormatUint(o.Revision, 10), &out)
	return out.Revision, err
}

// Settle writes like Put and finds out what became of a write whose answer was
// lost, by reading the object until ctx ends. same reports whether a read body
// is the one that was to be written.
func (c *Client) Settle(ctx context.Context, o object.Object) (uint64, error) {
	rev, err := c.Put(ctx, o)
	for errors.Is(err, ErrUnsure) {
		now, getErr := c.Get(ctx, o.Kind, o.Name)
		switch {
		case getErr == nil && now.Revision > o.Revision && bytes.Equal(now.Body, o.Body):
			return now.Revision, nil
		case getErr == nil && now.Revision != o.Revision:
			return 0, fault.Wrap(ErrConflict, "settle", c.Objects)
		case getErr == nil || errors.Is(getErr, ErrMissing):
			// The read may be older than the write: write again, which the
			// condition makes harmless.
			rev, err = c.Put(ctx, o)
			if errors.Is(err, ErrConflict) {
				err = ErrUnsure
			}
		}
		if err == nil {
			return rev, nil
		}
		if !pace.Sleep(ctx, settlePause) {
			return 0, fault.Wrap(ErrUnsure, "settle", c.Objects)
		}
	}
	return rev, err
}

// settlePause is the time between two looks at an unsure write.
const settlePause = 20 * time.Millisecond

// Changes lists objects of the kinds that were written after since. It waits
// up to wait for one to appear.
func (c *Client) Changes(ctx context.Context, kinds []object.Kind, since uint64, limit int, wait time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+wait)
	defer cancel()
	names := make([]string, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, string(k))
	}
	q := url.Values{}
	q.Set("kinds", strings.Join(names, ","))
	q.Set("since", strconv.FormatUint(since, 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	var l List
	err := c.call(ctx, "watch", http.MethodGet, c.Objects+"/v1/objects?"+q.Encode(), nil, "", &l)
	return l, err
}

// List returns the platform's list of VMs.
func (c *Client) List(ctx context.Context) (VMs, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var l VMs
	err := c.call(ctx, "vms", http.MethodGet, c.Machine+"/v1/vms", nil, "", &l)
	return l, err
}

func (c *Client) path(kind object.Kind, name string) string {
	return c.Objects + "/v1/objects/" + string(kind) + "/" + url.PathEscape(name)
}

// call makes one call. match is the expected revision of a write.
func (c *Client) call(ctx context.Context, step fault.Step, method, target string, body []byte, match string, out any) error {
	host, _, _ := strings.Cut(target, "/")
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, step, host)
	}
	write := method != http.MethodGet
	if write {
		// Without GetBody the transport never sends a write a second time.
		req.GetBody = nil
		condition(req, match)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fault.Wrap(unsure(write, err), step, host)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return fault.Wrap(unsure(write, err), step, host)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return fault.Wrap(ErrMissing, step, host)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return fault.Wrap(ErrConflict, step, host)
	case resp.StatusCode >= http.StatusInternalServerError:
		return fault.Wrap(unsure(write, fmt.Errorf("answered %s", resp.Status)), step, host)
	case resp.StatusCode >= http.StatusBadRequest:
		return fault.New(step, host, "answered %s: %s", resp.Status, strings.TrimSpace(string(b)))
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fault.Wrap(unsure(write, err), step, host)
	}
	return nil
}

func condition(req *http.Request, match string) {
	if match == "0" {
		req.Header.Set("If-None-Match", "*")
		return
	}
	req.Header.Set("If-Match", strconv.Quote(match))
}

func unsure(write bool, err error) error {
	if write {
		return fmt.Errorf("%w: %w", ErrUnsure, err)
	}
	return err
}
