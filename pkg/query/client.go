package query

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// HTTP paths that a daemon serves to callers.
const (
	PathQuery   = "/v1/query"
	PathCheck   = "/v1/check"
	PathBook    = "/v1/book"
	PathHealth  = "/v1/health"
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain/" // followed by the request ID
	PathMetrics = "/metrics"
)

// maxAnswer is the maximum number of bytes of an HTTP response that a Client
// reads.
const maxAnswer = 8 << 20

// A Client sends requests to one daemon. It never sends a query, a check or a
// booking twice. It is safe for concurrent use.
type Client struct {
	Address string       // IP:PORT that the daemon serves callers at
	HTTP    *http.Client // http.DefaultClient if nil
	Scheme  string       // "http" if empty
}

// Query sends r and returns the answer. If the daemon refuses the request, the
// error is a *Refusal; after any other error r may have been executed.
func (c *Client) Query(ctx context.Context, r *Request) (*Answer, error) {
	var a Answer
	if err := c.post(ctx, PathQuery, r, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// Check sends r and returns the result. Errors are as for Query.
func (c *Client) Check(ctx context.Context, r *Check) (*Checked, error) {
	var a Checked
	if err := c.post(ctx, PathCheck, r, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// Book sends r and returns the outcome. Errors are as for Query. After an
// unknown outcome, the same booking may be sent again with the same key.
func (c *Client) Book(ctx context.Context, r *Booking) (*Booked, error) {
	var a Booked
	if err := c.post(ctx, PathBook, r, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// Get requests one of the daemon's paths and decodes the JSON answer into out,
// which must be a pointer.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	return c.do(req, out)
}

func (c *Client) url(path string) string {
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	return scheme + "://" + c.Address + path
}

// post sends in as JSON and decodes the answer into out. The body is wrapped so
// that the request has no GetBody and net/http can't send it again.
func (c *Client) post(ctx context.Context, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.ContentLength = int64(len(b))
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, out)
}

// do sends req once and decodes the answer into out. A refusal with any status
// but 200 is returned as a *Refusal.
func (c *Client) do(req *http.Request, out any) error {
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	resp, err := h.Do(req)
	if err != nil {
		return fmt.Errorf("send to %s: %w", c.Address, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("read from %s: %w", c.Address, err)
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(b, out)
	}
	r := Refusal{Status: resp.StatusCode}
	if json.Unmarshal(b, &r) != nil || r.Run == "" {
		return fmt.Errorf("%s answered %s", c.Address, resp.Status)
	}
	return &r
}
