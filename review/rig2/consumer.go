package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A consumer sends requests on a connection that it keeps to one daemon.
type consumer struct {
	name     string
	front    string // of the daemon
	method   string
	host     string
	path     string
	body     []byte
	deadline time.Duration
	every    time.Duration // between two requests
	record   *record
}

// run sends requests until ctx ends. It doesn't repeat any.
func (c *consumer) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	client := &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1},
		Timeout:   c.deadline,
	}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(c.every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.send(client, fmt.Sprintf("%s-%d", c.name, n))
		}
	}
}

// send sends one request.
func (c *consumer) send(client *http.Client, id string) {
	req, err := http.NewRequest(c.method, "http://"+c.front+c.path, bytes.NewReader(c.body))
	if err != nil {
		return
	}
	req.GetBody = nil // so that nothing is sent twice
	req.Host = c.host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	begun := time.Now()
	status := 0
	resp, err := client.Do(req)
	if err == nil {
		status = resp.StatusCode
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			status = 0
		}
		_ = resp.Body.Close()
		c.record.checkStamps(id, status, resp.Header)
	}
	c.record.answer(id, status, time.Since(begun))
}

// consumerGap is the time between two requests of one consumer.
const consumerGap = 200 * time.Millisecond

// startConsumers starts consumers of all daemons, which run until ctx ends.
func startConsumers(ctx context.Context, r *record, f *fleet, consumers int, method string, deadline time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range consumers {
		c := &consumer{
			name: fmt.Sprintf("c%d", i), front: f.daemons[i%len(f.daemons)].front, method: method, host: "h.example", path: "/one/x",
			deadline: deadline, every: consumerGap, record: r,
		}
		if method == http.MethodPost {
			c.body = []byte("amount=100")
		} else if i%4 == 3 {
			c.path = "/ledger/x"
		}
		wg.Add(1)
		go c.run(ctx, &wg)
		time.Sleep(consumerGap / time.Duration(consumers))
	}
	return &wg
}
