package share

import "time"

type report struct {
	sent     int64
	expires  time.Time
	interval time.Duration
	demands  []Demand
}

// Report stores the demand of another router. sent orders its reports: an older one is
// ignored. The next report is expected after interval. This one is valid for ttl.
func (s *Shares) Report(peer string, sent int64, demands []Demand, interval, ttl time.Duration) {
	r := s.peers[peer]
	switch {
	case r == nil:
		r = &report{}
		s.peers[peer] = r
	case sent < r.sent:
		return
	}
	*r = report{sent: sent, expires: s.now().Add(min(ttl, maxValidity)), interval: min(interval, maxInterval), demands: demands}
	s.changed = true
}

// refresh evaluates the reports if they changed or may have expired.
func (s *Shares) refresh(now time.Time) {
	since := now.Sub(s.rebuiltAt)
	if since < rebuildInterval || !s.changed && since < maxStep {
		return
	}
	if !s.changed && s.limit == s.rebuiltFor && now.Before(s.expiry) {
		s.rebuiltAt = now
		return
	}
	s.rebuiltAt, s.rebuiltFor, s.changed = now, s.limit, false
	s.expiry = now.Add(maxInterval)
	s.known, s.used, s.unmet, s.age = 1, 0, 0, 0
	for p := range s.others {
		s.others[p].reset()
	}
	for peer, r := range s.peers {
		if !now.Before(r.expires) {
			delete(s.peers, peer)
			continue
		}
		s.known++
		if r.expires.Before(s.expiry) {
			s.expiry = r.expires
		}
		s.age = max(s.age, r.interval)
		for _, d := range r.demands {
			s.used += s.counted(d.Used)
			s.unmet += s.counted(d.Unmet)
			others := &s.others[class(d.Priority)]
			others.demands = append(others.demands, s.counted(d.Used+d.Unmet))
		}
	}
	for p := range s.others {
		s.others[p].sort()
	}
}

// counted returns the part of a demand that counts.
func (s *Shares) counted(demand float64) float64 {
	if s.limit <= 0 {
		return demand
	}
	return min(demand, maxDemand*s.limit)
}
