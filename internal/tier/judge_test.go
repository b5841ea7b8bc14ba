package tier

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/flow"
)

// An arrival is a request that came to a replica.
type arrival struct {
	at      time.Time
	service string
	replica string
	request string
}

// An asked is a request of a caller, and what became of it.
type asked struct {
	at     time.Time
	path   string
	answer flow.Answer
	whole  bool // the daemon lived to answer
}

// A judge holds what callers and replicas saw, and finds broken promises.
type judge struct {
	mu       sync.Mutex
	arrivals []arrival
	asked    map[string]*asked
	sent     map[string]time.Time // when a request was sent to a replica, by the names of both
	colds    map[string]time.Time // until when a replica is cold
	banned   map[string]time.Time // from when a replica gets no requests
}

func newJudge() *judge {
	return &judge{asked: make(map[string]*asked), sent: make(map[string]time.Time), colds: make(map[string]time.Time), banned: make(map[string]time.Time)}
}

func (j *judge) arrive(service, replica, request string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, arrival{time.Now(), service, replica, request})
}

func (j *judge) send(request, replica string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent[request+" "+replica] = time.Now()
}

func (j *judge) cold(replica string, till time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.colds[replica] = till
}

// ban says that a replica gets no requests from then on.
func (j *judge) ban(replica string, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.banned[replica] = from
}

func (j *judge) ask(id, path string) *asked {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := &asked{at: time.Now(), path: path}
	j.asked[id] = a
	return a
}

func (j *judge) answer(a *asked, got flow.Answer, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.answer = got
	a.whole = whole
}

// broken returns the promises that were broken. calm is when the last fault
// was taken back.
func (j *judge) broken(s *site, calm time.Time) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	out = append(out, j.runs(s)...)
	out = append(out, j.answers(s)...)
	out = append(out, j.extras(s)...)
	out = append(out, j.colder()...)
	out = append(out, j.drained(calm)...)
	return out
}

// attemptsMost is how many requests may run on more replicas than their route
// allows, as the platform's rule has it.
const attemptsMost = 3

// runs judges how often requests ran: once at most if they can't be repeated,
// never if they were refused, and not on too many replicas.
func (j *judge) runs(s *site) []string {
	var out []string
	writes := make(map[string]int)
	parts := make(map[string]int)
	for _, service := range s.services() {
		for _, p := range s.all(service) {
			for id, n := range p.Ran() {
				parts[id+" "+service]++
				if a := j.asked[id]; a == nil {
					out = append(out, fmt.Sprintf("%s ran, and nobody asked it", id))
				} else if a.path == "/write/" {
					writes[id] += n
				}
			}
		}
	}
	for id, n := range writes {
		a := j.asked[id]
		if n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times and can't be repeated", id, n))
		}
		if a.whole && a.answer.Kind == flow.Refused {
			out = append(out, fmt.Sprintf("%s was refused and ran: %s", id, a.answer.String()))
		}
	}
	var many []string
	for id, n := range parts {
		if n > siteAttempts {
			many = append(many, id)
		}
	}
	if len(many) > attemptsMost {
		out = append(out, fmt.Sprintf("%d requests ran on more than %d replicas: %v", len(many), siteAttempts, many[:attemptsMost]))
	}
	return out
}

// answers judges successes: they hold the parts that they say, each of them
// this request's own, and enough of them.
func (j *judge) answers(s *site) []string {
	var out []string
	for id, a := range j.asked {
		if !a.whole || a.answer.Kind != flow.Served {
			continue
		}
		if a.path != "/all/" {
			if !strings.HasPrefix(a.answer.Header.Get("Proof"), id+" of ") {
				out = append(out, fmt.Sprintf("%s got the answer %q", id, a.answer.Header.Get("Proof")))
			}
			continue
		}
		seen := make(map[string]bool)
		for _, p := range a.answer.Proofs {
			of, ok := strings.CutPrefix(p, id+" of ")
			service, _, _ := strings.Cut(of, ".")
			if !ok || seen[service] {
				out = append(out, fmt.Sprintf("%s got a part %q", id, p))
			}
			seen[service] = true
		}
		if len(seen)+a.answer.MissingShards != s.shards || float64(len(seen)) < siteLeast*float64(s.shards) {
			out = append(out, fmt.Sprintf("%s got %d parts of %d, and is told that %d are missing", id, len(seen), s.shards, a.answer.MissingShards))
		}
	}
	return out
}

// extras judges the budget of repeats: in each window, each service.
func (j *judge) extras(s *site) []string {
	if len(j.arrivals) == 0 {
		return nil
	}
	begin := j.arrivals[0].at
	second := func(t time.Time) int { return max(int(t.Sub(begin)/time.Second), 0) }
	size := second(time.Now()) + 1
	extra := make(map[string][]int)
	asked := make(map[string][]int)
	for _, name := range s.services() {
		extra[name] = make([]int, size)
		asked[name] = make([]int, size)
	}
	first := make(map[string]bool)
	for _, a := range j.arrivals {
		key := a.request + " " + a.service
		if first[key] {
			extra[a.service][second(a.at)]++
		}
		first[key] = true
	}
	for _, a := range j.asked {
		if a.path != "/all/" {
			asked[siteSingle][second(a.at)]++
			continue
		}
		for _, name := range s.shardNames() {
			asked[name][second(a.at)]++
		}
	}
	return overspent(extra, asked, int(siteBounds.BudgetWindow/time.Second))
}

// overspent returns the services whose repeats were more than the requests of
// the same time, the time before or between allow.
func overspent(extra, asked map[string][]int, window int) []string {
	var out []string
	sum := func(n []int, from, to int) int {
		total := 0
		for _, v := range n[max(from, 0):max(min(to, len(n)), 0)] {
			total += v
		}
		return total
	}
	for _, name := range slices.Sorted(maps.Keys(extra)) {
		for at := range extra[name] {
			spent := sum(extra[name], at, at+window)
			most := max(sum(asked[name], at, at+window), sum(asked[name], at-window, at), sum(asked[name], at-window/2, at+window/2))
			if allowed := siteBounds.BudgetRatio*float64(most) + siteBounds.BudgetSlack; float64(spent) > allowed {
				out = append(out, fmt.Sprintf("%s got %d repeats in the %d s from second %d, %.0f are allowed", name, spent, window, at, allowed))
				break
			}
		}
	}
	return out
}

// colder judges what cold replicas got in any second. As on the platform, a
// request counts that was sent and came inside that second.
func (j *judge) colder() []string {
	var out []string
	came := make(map[string][]arrival)
	for _, a := range j.arrivals {
		if till, ok := j.colds[a.replica]; ok && a.at.Before(till) {
			came[a.replica] = append(came[a.replica], a)
		}
	}
	allowed := int(siteCold*siteBounds.ColdFactor + siteBounds.ColdSlack)
	for replica, all := range came {
		for i, last := range all {
			begin := last.at.Add(-time.Second)
			n := 0
			for _, a := range all[:i+1] {
				if j.sent[a.request+" "+replica].After(begin) {
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

// drained judges what came to replicas that get no requests any more, after
// all faults and the time that a drain may take.
func (j *judge) drained(calm time.Time) []string {
	late := make(map[string]int)
	for _, a := range j.arrivals {
		from, ok := j.banned[a.replica]
		if ok && a.at.After(from.Add(drainTime)) && a.at.After(calm.Add(drainTime)) {
			late[a.replica]++
		}
	}
	var out []string
	for replica, n := range late {
		out = append(out, fmt.Sprintf("%s was drained and got %d requests", replica, n))
	}
	return out
}

// drainTime is how long a drain may take, as on the platform's sites.
const drainTime = 6 * time.Second

// served returns the share of successes of what was asked from a time on.
func (j *judge) served(from time.Time) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	good, all := 0, 0
	for _, a := range j.asked {
		if a.at.Before(from) {
			continue
		}
		all++
		if a.whole && a.answer.Kind == flow.Served {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// tally returns how many requests ended how.
func (j *judge) tally() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := make(map[flow.Kind]int)
	for _, a := range j.asked {
		n[a.answer.Kind]++
	}
	return fmt.Sprintf("%d asked, %d sent to replicas, %v", len(j.asked), len(j.arrivals), n)
}
