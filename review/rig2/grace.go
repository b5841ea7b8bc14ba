package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case grace.
const (
	graceBefore = 6 * time.Second // GraceS of the site file
	graceAfter  = 4 * time.Second
	termDelay   = 300 * time.Millisecond // between the change of the settings and SIGTERM
	firstLate   = 3450 * time.Millisecond
	lateGap     = 50 * time.Millisecond
	lateCount   = 10 // requests to each daemon, firstLate after SIGTERM and later
	lateWork    = 600 * time.Millisecond
)

// A keptConn is a connection that a consumer keeps to a daemon.
type keptConn struct {
	conn   net.Conn
	r      *bufio.Reader
	record *record
}

// keep opens a connection.
func keep(d *daemon, r *record) (*keptConn, error) {
	c, err := net.Dial("tcp", d.front)
	if err != nil {
		return nil, err
	}
	return &keptConn{conn: c, r: bufio.NewReader(c), record: r}, nil
}

// get sends a request, and returns the status of its answer; 0 if the connection ends
// without a complete one.
func (k *keptConn) get(id string) int {
	begun := time.Now()
	status := 0
	_, err := fmt.Fprintf(k.conn, "GET /one/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", id)
	if err == nil {
		if resp, err := http.ReadResponse(k.r, nil); err == nil {
			status = resp.StatusCode
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				status = 0
			}
			_ = resp.Body.Close()
		}
	}
	k.record.answer(id, status, time.Since(begun))
	return status
}

// setGrace replaces the settings file of a daemon by one with another GraceS, as a whole.
func (d *daemon) setGrace(grace time.Duration) error {
	b, err := os.ReadFile(d.file("toml"))
	if err != nil {
		return err
	}
	text := strings.Replace(string(b), fmt.Sprintf("GraceS = %.0f", graceBefore.Seconds()), fmt.Sprintf("GraceS = %.0f", grace.Seconds()), 1)
	if err := os.WriteFile(d.file("new"), []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(d.file("new"), d.file("toml"))
}

// graceCase stops one daemon after the other, each soon after GraceS has been shortened in
// its settings file, which no signal says. SIGKILL comes after the GraceS in the file.
func graceCase(r *record, trouble bool) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.write("config", "main", config("idempotent", 5*time.Second))
	runs := &runCount{runs: make(map[string][]string)}
	for i := range 8 {
		l := &faultySearcher{id: fmt.Sprintf("i-%d", i+1), service: "s1", zone: fmt.Sprintf("z%d", i%3+1), work: lateWork, record: r, runs: runs, mayRepeat: true}
		if err := l.start(s); err != nil {
			return err
		}
	}
	f, err := startFleet(s, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	time.Sleep(6 * time.Second)
	for _, d := range f.daemons {
		if err := stopDaemon(d, r, runs, trouble); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		if err := f.awaitReady(5 * time.Second); err != nil {
			return err
		}
		time.Sleep(6 * time.Second) // StableWindowMs is 5,000
	}
	return nil
}

// stopDaemon stops a daemon, to which consumers that keep connections send requests until
// shortly before its end.
func stopDaemon(d *daemon, r *record, runs *runCount, trouble bool) error {
	var conns []*keptConn
	for i := range lateCount {
		k, err := keep(d, r)
		if err != nil {
			return err
		}
		defer k.conn.Close()
		if status := k.get(fmt.Sprintf("%s-warm-%d", d.name, i)); status != http.StatusOK {
			return fmt.Errorf("%s answers %d in calm", d.name, status)
		}
		conns = append(conns, k)
	}
	grace := graceBefore
	if trouble {
		grace = graceAfter
		r.add("GraceS of %s changes to %v, without a signal", d.name, grace)
		if err := d.setGrace(grace); err != nil {
			return err
		}
	}
	time.Sleep(termDelay)
	r.add("SIGTERM to %s", d.name)
	d.signal(syscall.SIGTERM)
	term := time.Now()
	var wg sync.WaitGroup
	for i, k := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(term.Add(firstLate + time.Duration(i)*lateGap)))
			id := fmt.Sprintf("%s-late-%d", d.name, i)
			if k.get(id) == 0 && runs.has(id) {
				r.broken("LOST: %s was passed on to a searcher, and its connection ended without an answer", id)
			}
		}()
	}
	select {
	case <-d.done:
		r.add("%s has ended", d.name)
	case <-time.After(time.Until(term.Add(grace))):
		r.add("SIGKILL to %s, %v after SIGTERM", d.name, grace)
		d.signal(syscall.SIGKILL)
		<-d.done
	}
	wg.Wait()
	return nil
}
