package query

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Paths of the callers' interface.
const (
	PathQuery   = "/v1/query"
	PathCheck   = "/v1/check"
	PathBook    = "/v1/book"
	PathHealth  = "/v1/health"
	PathStatus  = "/v1/status"
	PathExplain = "/v1/explain/"
	PathMetrics = "/metrics"
)

// maxAnswer bounds the bytes of an answer that a Client reads.
const maxAnswer = 8 << 20

// A Client sends requests to one entry. It never sends a request twice.
type Client struct {
	Address string       // IP number and port of an entry
	HTTP    *http.Client // http.DefaultClient when nil
	Scheme  string       // "http" when empty
}

// Query sends a Request. A refusal is returned as a *Refusal.
func (c *Client) Query(ctx context.Context, r *Request) (*Answer, error) {
	var a Answer
	if err := c.post(ctx, PathQuery, r, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// Check sends a Check. A refusal is returned as a *Refusal.
func (c *Client) Check(ctx context.Context, r *Check) (*Checked, error) {
	var a Checked
	if err := c.post(ctx, PathCheck, r, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// Book sends a Booking. A refusal is returned as a *Refusal.
func (c *Client) Book(ctx context.Context, r *Booking) (*Booked, error) {
	var a Booked
	if err := c.post(ctx, PathBook, r, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// Get reads the JSON at one of the entry's paths into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return fmt.Errorf("request: %w", err)
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

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	req.ContentLength = int64(len(b))
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, out)
}

func (c *Client) do(req *http.Request, out any) error {
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	resp, err := h.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", c.Address, err)
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
