package server

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/proxy"
)

// An arrival is an attempt that reached a replica.
type arrival struct {
	at      time.Time
	service string
	replica string
	request string
}

// A callerRequest is a request sent by a caller, and its answer.
type callerRequest struct {
	at       time.Time
	path     string
	answer   proxy.Answer
	answered bool // answer is set, and the daemon was still running then
}

// A checker records what callers and replicas observe, and checks it against the
// fleet's invariants.
type checker struct {
	mu        sync.Mutex
	arrivals  []arrival
	requests  map[string]*callerRequest
	sent      map[string]time.Time // last time of sending, by request ID and replica, separated by a blank
	coldUntil map[string]time.Time // end of the cold period, by replica
	outSince  map[string]time.Time // time of going out of rotation, by replica
}

func newChecker() *checker {
	return &checker{requests: make(map[string]*callerRequest), sent: make(map[string]time.Time), coldUntil: make(map[string]time.Time), outSince: make(map[string]time.Time)}
}

func (c *checker) recordArrival(service, replica, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, arrival{time.Now(), service, replica, request})
}

func (c *checker) recordSend(request, replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[request+" "+replica] = time.Now()
}

func (c *checker) markCold(replica string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil[replica] = until
}

// markOut records that a replica is out of rotation from since on.
func (c *checker) markOut(replica string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outSince[replica] = since
}

func (c *checker) recordRequest(id, path string) *callerRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &callerRequest{at: time.Now(), path: path}
	c.requests[id] = req
	return req
}

func (c *checker) recordAnswer(req *callerRequest, answer proxy.Answer, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req.answer = answer
	req.answered = answered
}

// violations returns a message for each violated invariant. healed is the time at
// which the last fault ended.
func (c *checker) violations(s *simulation, healed time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	out = append(out, c.checkExecutions(s)...)
	out = append(out, c.checkAnswers(s)...)
	out = append(out, c.checkExtraRequests(s)...)
	out = append(out, c.checkColdRate()...)
	out = append(out, c.checkDrained(healed)...)
	return out
}

// maxOverAttempted is the number of requests that may run on more replicas than
// their route allows, as in the platform's own rule.
const maxOverAttempted = 3

// checkExecutions checks how often requests were executed: at most once if they
// can't be repeated, never if they were refused, and not on more replicas than
// allowed.
func (c *checker) checkExecutions(s *simulation) []string {
	var out []string
	writes := make(map[string]int)
	replicas := make(map[string]int)
	for _, service := range s.services() {
		for _, r := range s.replicasOf(service) {
			for id, n := range r.Executions() {
				replicas[id+" "+service]++
				if req := c.requests[id]; req == nil {
					out = append(out, fmt.Sprintf("%s was executed, but no caller sent it", id))
				} else if req.path == "/write/" {
					writes[id] += n
				}
			}
		}
	}
	for id, n := range writes {
		req := c.requests[id]
		if n > 1 {
			out = append(out, fmt.Sprintf("%s was executed %d times, but can't be repeated", id, n))
		}
		if req.answered && req.answer.Kind == proxy.Refused {
			out = append(out, fmt.Sprintf("%s was refused, but executed: %s", id, req.answer.String()))
		}
	}
	var excess []string
	for id, n := range replicas {
		if n > maxAttempts {
			excess = append(excess, id)
		}
	}
	if len(excess) > maxOverAttempted {
		out = append(out, fmt.Sprintf("%d requests were executed on more than %d replicas: %v", len(excess), maxAttempts, excess[:maxOverAttempted]))
	}
	return out
}

// checkAnswers checks successful answers: each part belongs to this request and
// to a different shard, the number of missing shards is right, and enough shards
// are covered.
func (c *checker) checkAnswers(s *simulation) []string {
	var out []string
	for id, req := range c.requests {
		if !req.answered || req.answer.Kind != proxy.Served {
			continue
		}
		if req.path != "/all/" {
			if !strings.HasPrefix(req.answer.Header.Get("Proof"), id+" of ") {
				out = append(out, fmt.Sprintf("%s got an answer with the proof %q, which is of another request", id, req.answer.Header.Get("Proof")))
			}
			continue
		}
		seen := make(map[string]bool)
		for _, p := range req.answer.Proofs {
			origin, ok := strings.CutPrefix(p, id+" of ")
			service, _, _ := strings.Cut(origin, ".")
			if !ok || seen[service] {
				out = append(out, fmt.Sprintf("%s got a part with the proof %q, which is of another request or a repeated shard", id, p))
			}
			seen[service] = true
		}
		if len(seen)+req.answer.MissingShards != s.shards || float64(len(seen)) < minCoverage*float64(s.shards) {
			out = append(out, fmt.Sprintf("%s got %d of %d parts, and the answer reports %d as missing", id, len(seen), s.shards, req.answer.MissingShards))
		}
	}
	return out
}

// checkExtraRequests checks the budget of extra requests (retries and hedges) for
// each service in each window.
func (c *checker) checkExtraRequests(s *simulation) []string {
	if len(c.arrivals) == 0 {
		return nil
	}
	begin := c.arrivals[0].at
	second := func(t time.Time) int { return max(int(t.Sub(begin)/time.Second), 0) }
	seconds := second(time.Now()) + 1
	extra := make(map[string][]int)
	requests := make(map[string][]int)
	for _, name := range s.services() {
		extra[name] = make([]int, seconds)
		requests[name] = make([]int, seconds)
	}
	seen := make(map[string]bool)
	for _, a := range c.arrivals {
		key := a.request + " " + a.service
		if seen[key] {
			extra[a.service][second(a.at)]++
		}
		seen[key] = true
	}
	for _, a := range c.requests {
		if a.path != "/all/" {
			requests[singleService][second(a.at)]++
			continue
		}
		for _, name := range s.shardNames() {
			requests[name][second(a.at)]++
		}
	}
	return overBudget(extra, requests, int(simBounds.BudgetWindow/time.Second))
}

// overBudget returns a message for each service that got more extra requests in a
// window than its budget. The budget follows from the callers' requests in this
// window, the one before or the one that starts half a window earlier, whichever
// has the most.
func overBudget(extra, requests map[string][]int, window int) []string {
	var out []string
	sum := func(n []int, from, to int) int {
		total := 0
		for _, v := range n[max(from, 0):max(min(to, len(n)), 0)] {
			total += v
		}
		return total
	}
	for _, name := range slices.Sorted(maps.Keys(extra)) {
		for start := range extra[name] {
			spent := sum(extra[name], start, start+window)
			base := max(sum(requests[name], start, start+window), sum(requests[name], start-window, start), sum(requests[name], start-window/2, start+window/2))
			if allowed := simBounds.BudgetRatio*float64(base) + simBounds.BudgetSlack; float64(spent) > allowed {
				out = append(out, fmt.Sprintf("%s got %d repeats in the %d s from second %d, %.0f are allowed", name, spent, window, start, allowed))
				break
			}
		}
	}
	return out
}

// checkColdRate checks the rate of requests to cold replicas in any one second. As
// in the platform's own check, a request counts if it was both sent and received
// within that second.
func (c *checker) checkColdRate() []string {
	var out []string
	arrivals := make(map[string][]arrival)
	for _, a := range c.arrivals {
		if until, ok := c.coldUntil[a.replica]; ok && a.at.Before(until) {
			arrivals[a.replica] = append(arrivals[a.replica], a)
		}
	}
	allowed := int(coldRate*simBounds.ColdFactor + simBounds.ColdSlack)
	for replica, all := range arrivals {
		for i, last := range all {
			windowStart := last.at.Add(-time.Second)
			n := 0
			for _, a := range all[:i+1] {
				if c.sent[a.request+" "+replica].After(windowStart) {
					n++
				}
			}
			if n > allowed {
				out = append(out, fmt.Sprintf("%s is cold and got %d requests in the second before %s, %d are allowed", replica, n, last.at.Format("05.000"), allowed))
				break
			}
		}
	}
	return out
}

// checkDrained checks that replicas out of rotation get no requests. It counts only
// those later than drainTimeout after the replica went out and after the last
// fault ended.
func (c *checker) checkDrained(healed time.Time) []string {
	late := make(map[string]int)
	for _, a := range c.arrivals {
		since, ok := c.outSince[a.replica]
		if ok && a.at.After(since.Add(drainTimeout)) && a.at.After(healed.Add(drainTimeout)) {
			late[a.replica]++
		}
	}
	var out []string
	for replica, n := range late {
		out = append(out, fmt.Sprintf("%s was drained and got %d requests", replica, n))
	}
	return out
}

// drainTimeout is how long a drain may take, as on the platform.
const drainTimeout = 6 * time.Second

// servedRatio returns the share of requests sent at or after from that were served.
func (c *checker) servedRatio(from time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, total := 0, 0
	for _, a := range c.requests {
		if a.at.Before(from) {
			continue
		}
		total++
		if a.answered && a.answer.Kind == proxy.Served {
			served++
		}
	}
	return float64(served) / float64(max(total, 1))
}

// summary returns the number of requests, of attempts, and of answers by kind.
func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := make(map[proxy.Kind]int)
	for _, a := range c.requests {
		n[a.answer.Kind]++
	}
	return fmt.Sprintf("%d requests, %d attempts, answers %v", len(c.requests), len(c.arrivals), n)
}
