// Package store provides a client for the platform's object API and VM list.
//
// The object API uses HTTP and JSON. GET, PUT and DELETE of
// /v1/objects/KIND/NAME read, write and delete one object. The ETag of an
// object is its revision, and If-Match or If-None-Match makes a write
// conditional. GET of /v1/objects?kinds=A,B&since=REV&limit=N&wait=MS lists the
// objects written after revision REV in the order of their revisions, and waits
// up to MS milliseconds while there are none.
//
// An object API that is restored from an older copy gives out revisions again. It
// counts its restores in the header Restores of all responses, and an ETag is
// RESTORES/REVISION once there was one. A Client returns revisions that order by the
// restores first (feed.Revision).
package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bronzedoor.dev/bronzedoor/internal/body"
	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/object"
)

// Errors that a Client returns, wrapped; test for them with errors.Is.
var (
	// ErrConflict means that the object is not at the expected revision.
	ErrConflict = errors.New("conflict: object is not at the expected revision")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrRestored means that the object API was restored from an older copy since the
	// revision that a listing is to begin at.
	ErrRestored = errors.New("object API was restored from an older copy")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
)

// HeaderRestores is the header of responses that counts the restores of the object API
// from older copies. Without it there were none.
const HeaderRestores = "Restores"

// maxResponse is the maximum size of a response body in bytes.
const maxResponse = 16 << 20

// A Page is one page of a listing of objects, in the order of their revisions.
type Page struct {
	Objects  []object.Object `json:"objects"`
	Revision uint64          `json:"rev"`  // every earlier change is on this page or a previous one
	More     bool            `json:"more"` // there are changes after Revision
}

// A VM is one entry of the platform's VM list.
type VM struct {
	Address string `json:"address"`         // IP address and port of its daemon
	StartID string `json:"start"`           // identifies the daemon process since its start
	Domain  string `json:"domain"`          // failure domain
	State   string `json:"state,omitempty"` // "live" or "leaving"
}

// Identity returns ADDRESS#START, which names one process of the VM's daemon.
// It changes when the daemon restarts.
func (v VM) Identity() string {
	return v.Address + "#" + v.StartID
}

// VMs is one version of the platform's VM list.
type VMs struct {
	Version uint64 `json:"version"` // increases with each change to the list
	VMs     []VM   `json:"vms"`
}

// Contains reports whether the list has a VM with this identity.
func (l *VMs) Contains(identity string) bool {
	for _, v := range l.VMs {
		if v.Identity() == identity {
			return true
		}
	}
	return false
}

// A Client accesses the object API and the VM list. It is safe for concurrent
// use.
type Client struct {
	ObjectsAddr string        // IP address and port of the object API
	VMListAddr  string        // IP address and port of the VM list
	HTTP        *http.Client  // must not be nil
	Timeout     time.Duration // of one call, on top of the wait of Changes; must be positive
}

// Get returns one object, or ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	var o object.Object
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	restores, err := c.call(ctx, "get", http.MethodGet, c.objectTarget(kind, name), nil, "", &o)
	o.Revision = compose(restores, o.Revision)
	return o, err
}

// Put writes an object, or deletes it if o.Deleted is set, provided that it is
// still at o.Revision; 0 means that it must not exist. It returns the new
// revision. With ErrConflict this call did not write the object; with
// ErrOutcomeUnknown it may have.
func (c *Client) Put(ctx context.Context, o object.Object) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var written object.Object
	method := http.MethodPut
	if o.Deleted {
		method = http.MethodDelete
	}
	restores, err := c.call(ctx, "put", method, c.objectTarget(o.Kind, o.Name), o.Body, feed.Revision(o.Revision).String(), &written)
	return compose(restores, written.Revision), err
}

// PutConfirmed writes like Put. If the response to the write is lost, it reads
// the object until it knows the outcome or ctx is done. The write counts as
// done if the object is at a later revision and has the body of o. If ctx is
// done first, the error is ErrOutcomeUnknown.
func (c *Client) PutConfirmed(ctx context.Context, o object.Object) (uint64, error) {
	rev, err := c.Put(ctx, o)
	for errors.Is(err, ErrOutcomeUnknown) {
		current, getErr := c.Get(ctx, o.Kind, o.Name)
		switch {
		case getErr == nil && current.Revision > o.Revision && bytes.Equal(current.Body, o.Body):
			return current.Revision, nil
		case getErr == nil && current.Revision != o.Revision:
			return 0, fault.Wrap(ErrConflict, "settle", c.ObjectsAddr)
		case getErr == nil || errors.Is(getErr, ErrNotFound):
			// The read may be stale and miss the write. Writing again is safe
			// because the write is conditional on the revision.
			rev, err = c.Put(ctx, o)
			if errors.Is(err, ErrConflict) {
				err = ErrOutcomeUnknown
			}
		}
		if err == nil {
			return rev, nil
		}
		if !delay.Sleep(ctx, confirmInterval) {
			return 0, fault.Wrap(ErrOutcomeUnknown, "settle", c.ObjectsAddr)
		}
	}
	return rev, err
}

// confirmInterval is the time between two checks whether a write took effect.
const confirmInterval = 20 * time.Millisecond

// Changes lists up to limit objects of the given kinds that were written or
// deleted after revision since. If there are none, it waits up to wait for one. The
// error is ErrRestored if the object API was restored after since.
func (c *Client) Changes(ctx context.Context, kinds []object.Kind, since uint64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+wait)
	defer cancel()
	names := make([]string, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, string(k))
	}
	q := url.Values{}
	q.Set("kinds", strings.Join(names, ","))
	q.Set("since", strconv.FormatUint(feed.Revision(since).Number(), 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	var l Page
	restores, err := c.call(ctx, "watch", http.MethodGet, c.ObjectsAddr+"/v1/objects?"+q.Encode(), nil, "", &l)
	if err != nil {
		return Page{}, err
	}
	if since != 0 && feed.Revision(since).Epoch() != restores {
		return Page{}, fault.Wrap(ErrRestored, "watch", c.ObjectsAddr)
	}
	l.Revision = compose(restores, l.Revision)
	for i := range l.Objects {
		l.Objects[i].Revision = compose(restores, l.Objects[i].Revision)
	}
	return l, nil
}

// compose returns the revision with a number that the object API gave out after a
// number of restores. The zero revision, of no object, stays 0.
func compose(restores, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return uint64(feed.NewRevision(restores, number))
}

// ListVMs returns the platform's VM list.
func (c *Client) ListVMs(ctx context.Context) (VMs, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var l VMs
	_, err := c.call(ctx, "vms", http.MethodGet, c.VMListAddr+"/v1/vms", nil, "", &l)
	return l, err
}

func (c *Client) objectTarget(kind object.Kind, name string) string {
	return c.ObjectsAddr + "/v1/objects/" + string(kind) + "/" + url.PathEscape(name)
}

// call sends one request and decodes the JSON response into out. target is the
// URL without its scheme, and match is the expected ETag of a write. It returns how
// often the object API had been restored.
func (c *Client) call(ctx context.Context, step fault.Step, method, target string, content []byte, match string, out any) (restores uint64, err error) {
	host, _, _ := strings.Cut(target, "/")
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target, bytes.NewReader(content))
	if err != nil {
		return 0, fault.Wrap(err, step, host)
	}
	write := method != http.MethodGet
	if write {
		// Without GetBody the transport never resends a write by itself.
		req.GetBody = nil
		setPrecondition(req, match)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, fault.Wrap(outcomeUnknown(write, err), step, host)
	}
	defer resp.Body.Close()
	b, err := body.Read(resp.Body, maxResponse)
	if err != nil {
		return 0, fault.Wrap(outcomeUnknown(write, err), step, host)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return 0, fault.Wrap(ErrNotFound, step, host)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return 0, fault.Wrap(ErrConflict, step, host)
	case resp.StatusCode >= http.StatusInternalServerError:
		return 0, fault.Wrap(outcomeUnknown(write, fmt.Errorf("server responded with status %s", resp.Status)), step, host)
	case resp.StatusCode >= http.StatusBadRequest:
		return 0, fault.New(step, host, "server responded with status %s: %s", resp.Status, strings.TrimSpace(string(b)))
	}
	if value := resp.Header.Get(HeaderRestores); value != "" {
		restores, err = strconv.ParseUint(value, 10, feed.EpochBits)
	}
	if err == nil {
		err = body.Unmarshal(b, out)
	}
	if err != nil {
		return 0, fault.Wrap(outcomeUnknown(write, err), step, host)
	}
	return restores, nil
}

// setPrecondition makes a write conditional on the ETag match; "0" means
// that the object must not exist.
func setPrecondition(req *http.Request, match string) {
	if match == "0" {
		req.Header.Set("If-None-Match", "*")
		return
	}
	req.Header.Set("If-Match", strconv.Quote(match))
}

// outcomeUnknown adds ErrOutcomeUnknown to the error of a write. Other errors
// are returned unchanged.
func outcomeUnknown(write bool, err error) error {
	if write {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return err
}
