package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Sizes of the header case in bytes, and its times.
const (
	oldHeaderLimit = 16 << 10 // MaxHeaderBytes of the pages' example
	newHeaderLimit = 32 << 10
	sentHeader     = 24 << 10
	configApply    = 4 * time.Second // ConfigApplyMs
	touchWindow    = 5 * time.Second // StableWindowMs
	headerRequests = 30
)

// withHeaderLimit returns a desired state with the limit, and with one route more if
// the version is above 7.
func withHeaderLimit(version, limit int) map[string]any {
	c := ledgerConfig(version)
	c["Limits"].(map[string]any)["MaxHeaderBytes"] = limit
	if version > 7 {
		c["Routes"] = append(c["Routes"].([]any), map[string]any{
			"Name": "added", "Host": ledgerHost, "PathPrefix": "/added/", "RouteType": "idempotent", "TimeoutMs": 8000,
			"SloMs": 800, "Priority": 2, "Service": ledgerService, "Attempts": 2, "AllowedRegions": []string{},
		})
	}
	return c
}

// sendLong sends a request with a long header on a new connection.
func sendLong(s *scene, name, address, path string) (answer, error) {
	c, err := dial(s.rec, name, address)
	if err != nil {
		return answer{}, err
	}
	defer c.close()
	id := newID()
	var b bytes.Buffer
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n", path, ledgerHost, id)
	for i := 0; b.Len() < sentHeader-1024; i++ {
		fmt.Fprintf(&b, "X-Filter-%d: %s\r\n", i, strings.Repeat("f", 900))
	}
	b.WriteString("\r\n")
	s.rec.add("consumer %s: the header of request %s has %d bytes", name, id, b.Len())
	return c.exchange(id, http.MethodGet, path, b.Bytes(), 5*time.Second), nil
}

// runHeaders raises MaxHeaderBytes while a daemon runs, and then sends requests within
// the new limit. The rule CONFIG is broken if the daemon refuses one, and DENIED if it
// refuses more than 5 and one in 500; the case asks for both. Without the disruption, the limit is the higher one from the start.
func runHeaders(s *scene) (bool, error) {
	limit := newHeaderLimit
	if s.trouble {
		limit = oldHeaderLimit
	}
	d, _, err := startLedger(s, 20*time.Millisecond, withHeaderLimit(7, limit))
	if err != nil {
		return false, err
	}
	time.Sleep(touchWindow)
	acked := time.Now()
	if s.trouble {
		s.store.put("config", "main", withHeaderLimit(8, newHeaderLimit), nil)
		s.rec.add("the store has acknowledged version 8 with MaxHeaderBytes %d", newHeaderLimit)
		time.Sleep(configApply + touchWindow)
		c, err := dial(s.rec, "probe", d.front)
		if err != nil {
			return false, err
		}
		defer c.close()
		if a := c.send(http.MethodGet, ledgerHost, "/added/entry", nil, 5*time.Second); a.status != http.StatusOK {
			return false, fmt.Errorf("the route that version 8 adds is not served: %d", a.status)
		}
	}
	denied := 0
	for i := range headerRequests {
		a, err := sendLong(s, fmt.Sprint(i), d.front, "/read/entry")
		if err != nil {
			return false, err
		}
		if a.status == http.StatusRequestHeaderFieldsTooLarge {
			denied++
			s.rec.add("CONFIG: request %s, sent %v after version 8 was acknowledged, is refused as only version 7 allows", a.id, time.Since(acked).Round(time.Millisecond))
		}
	}
	s.rec.add("%d of %d requests within the limit in force were ended with 431", denied, headerRequests)
	return float64(denied) > 5+float64(headerRequests)/500, nil
}
