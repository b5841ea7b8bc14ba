package judge

import "math"

// checkRecover checks RECOVER: of the requests sent later than Recovery after the last
// unplanned disruption, a quarter or more is served, if a quarter or more was before the first.
func checkRecover(r *run, c *Check) {
	const share = 0.25
	begin, end := math.Inf(1), 0.0
	for _, spans := range r.downtimes {
		for _, s := range spans {
			if !s.planned {
				begin, end = min(begin, s.begin), max(end, s.end)
			}
		}
	}
	var before, after, servedBefore, servedAfter int
	var last *request
	for _, q := range r.order {
		served := q.answer != nil && q.answer.Status/100 == 2
		switch {
		case q.answer == nil || q.answer.GaveUp:
		case q.answer.At < begin:
			before++
			servedBefore += toInt(served)
		case q.send.At > end+r.Recovery:
			c.Cases++
			after++
			servedAfter += toInt(served)
			last = q
		}
	}
	if last != nil && float64(servedBefore) >= share*float64(before) && before > 0 && float64(servedAfter) < share*float64(after) {
		c.add(last.answer, "%d of %d requests were served from %.0f ms after the last disruption on, and %d of %d before the first", servedAfter, after, r.Recovery, servedBefore, before)
	}
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
