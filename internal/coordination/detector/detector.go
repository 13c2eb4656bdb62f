// Package detector infers from the progress of running streams which engines may have
// failed. It is passive: it sends nothing and returns candidates for the caller to confirm.
package detector

import (
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// meanWeight and deviationWeight smooth a stream's event interval and its mean
	// deviation, as TCP does for round-trip times (RFC 6298).
	meanWeight      = 0.125
	deviationWeight = 0.25
	// maxDeviations is the number of mean deviations beyond the mean interval after which a
	// stream is overdue.
	maxDeviations = 4
	// minIntervalFactor is the minimum multiple of the mean interval after which a stream
	// is overdue.
	minIntervalFactor = 2
	// minOverdueDelay is the minimum pause after which a stream is overdue.
	minOverdueDelay = 40 * time.Millisecond
	// loneCheckShare is the share of the maximum pause after which a stream is checked even
	// if no other stream is overdue.
	loneCheckShare = 0.4
	// defaultMaxPause is the maximum pause of routes that set none.
	defaultMaxPause = 200 * time.Millisecond
	// maxScheduleDelay is the maximum delay of an assessment. A longer delay means that
	// this process was paused.
	maxScheduleDelay = 10 * time.Millisecond
	// settleDelay is how long streams are not assessed after a pause of this process,
	// because events may be waiting to be read.
	settleDelay = 30 * time.Millisecond
	// minOverdueStreams is the number of overdue streams from which a check starts early.
	minOverdueStreams = 2
	// recheckDelay is the delay before the next assessment of a stream while another
	// stream's path is checked.
	recheckDelay = 10 * time.Millisecond
	// Each check of a healthy path multiplies the thresholds by backoffFactor, up to
	// maxBackoff. The increase decays within backoffDecayTime.
	backoffFactor    = 1.5
	maxBackoff       = 3
	backoffDecayTime = 5 * time.Second
)

// Detector tracks the progress of this process's streams and the engines that they use.
type Detector struct {
	now func() time.Time

	mu        sync.Mutex
	streams   map[*Stream]struct{}
	engines   map[model.Incarnation]*engine
	resumedAt time.Time // end of the last detected pause of this process
	// checking is the stream whose path is being checked. Only one path is checked at a
	// time, because the result also applies to other streams.
	checking *Stream
	// backoff is the factor on the thresholds at the time backoffSetAt.
	backoff      float64
	backoffSetAt time.Time
}

type engine struct {
	lastEvent time.Time // latest event of any stream on the engine
	streams   int
}

// New returns a detector without streams.
func New(now func() time.Time) *Detector {
	return &Detector{now: now, streams: map[*Stream]struct{}{}, engines: map[model.Incarnation]*engine{}, backoff: 1}
}

// Stream is the progress of one stream.
type Stream struct {
	d        *Detector
	maxPause time.Duration

	path []model.Incarnation
	// checkStarted is when the check of the path began.
	checkStarted time.Time
	// hasEvent is set once an event arrived over the current path.
	hasEvent       bool
	lastEvent      time.Time
	nextAssessment time.Time
	// mean and deviation describe the interval between events in seconds.
	mean, deviation float64
}

// Track adds a stream on the engines of a path. expected is the planned interval between
// its events. maxPause is the maximum pause between events; 0 selects the default. The
// caller must call Close.
func (d *Detector) Track(path []model.Incarnation, expected, maxPause time.Duration) *Stream {
	if maxPause <= 0 {
		maxPause = defaultMaxPause
	}
	s := &Stream{d: d, maxPause: maxPause, mean: expected.Seconds(), deviation: expected.Seconds() / 2}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[s] = struct{}{}
	s.addToEngines(path)
	return s
}

// addToEngines and removeFromEngines update the stream counts of the engines. The caller
// holds the lock.
func (s *Stream) addToEngines(path []model.Incarnation) {
	s.path = path
	for _, inc := range path {
		e, ok := s.d.engines[inc]
		if !ok {
			e = &engine{}
			s.d.engines[inc] = e
		}
		e.streams++
	}
}

func (s *Stream) removeFromEngines() {
	for _, inc := range s.path {
		e := s.d.engines[inc]
		if e.streams--; e.streams == 0 {
			delete(s.d.engines, inc)
		}
	}
	s.path = nil
}

// RecordEvent records an event and returns the time until the next assessment.
func (s *Stream) RecordEvent() time.Duration {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	now := s.d.now()
	if s.hasEvent {
		s.updateInterval(now.Sub(s.lastEvent).Seconds())
	}
	s.hasEvent = true
	s.lastEvent = now
	for _, inc := range s.path {
		s.d.engines[inc].lastEvent = now
	}
	return s.schedule(now, s.overdueDelay())
}

func (s *Stream) updateInterval(interval float64) {
	diff := interval - s.mean
	s.mean += meanWeight * diff
	s.deviation += deviationWeight * (max(diff, -diff) - s.deviation)
}

func (s *Stream) schedule(now time.Time, delay time.Duration) time.Duration {
	s.nextAssessment = now.Add(delay)
	return delay
}

// overdueDelay returns the pause after which the stream is overdue. The caller holds the
// lock.
func (s *Stream) overdueDelay() time.Duration {
	delay := max(s.mean+maxDeviations*s.deviation, minIntervalFactor*s.mean)
	return time.Duration(s.d.currentBackoff() * float64(max(time.Duration(delay*float64(time.Second)), minOverdueDelay)))
}

// currentBackoff returns the current factor on the thresholds. The caller holds the lock.
func (d *Detector) currentBackoff() float64 {
	remaining := 1 - d.now().Sub(d.backoffSetAt).Seconds()/backoffDecayTime.Seconds()
	return 1 + (d.backoff-1)*max(remaining, 0)
}

// loneCheckDelay returns the pause after which the stream is checked even if no other
// stream is overdue. The caller holds the lock.
func (s *Stream) loneCheckDelay() time.Duration {
	return max(time.Duration(s.d.currentBackoff()*loneCheckShare*float64(s.maxPause)), s.overdueDelay())
}

// Reroute sets a new path of the stream. The stream is not assessed before its next event,
// because the new engines run the prefill of all tokens first.
func (s *Stream) Reroute(path []model.Incarnation) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if _, ok := s.d.streams[s]; !ok {
		return
	}
	s.removeFromEngines()
	s.addToEngines(path)
	s.hasEvent = false
}

// Close removes the stream. Further calls have no effect.
func (s *Stream) Close() {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if _, ok := s.d.streams[s]; ok {
		delete(s.d.streams, s)
		s.removeFromEngines()
	}
	if s.d.checking == s {
		s.d.checking = nil
	}
}

// Assessment is the result of Assess.
type Assessment struct {
	// Pause is the time since the stream's last event.
	Pause time.Duration
	// Candidates are the engines of the stream without progress since the stream's last
	// event.
	Candidates []model.Incarnation
	// OverdueStreams is the number of overdue streams, including this one, that use a
	// candidate without any event within this stream's overdue delay.
	OverdueStreams int
	// ReassessAfter is the delay before the next assessment. It is 0 if the path must be
	// checked now, if progress of other streams clears all engines, or if no event arrived
	// over the current path yet.
	ReassessAfter time.Duration
}

// NeedsCheck reports whether the stream's path must be checked now.
func (a Assessment) NeedsCheck() bool { return len(a.Candidates) > 0 && a.ReassessAfter == 0 }

// Assess assesses a stream whose next assessment is due. If the result needs a check, the
// caller must check the path and call CheckFinished.
func (s *Stream) Assess() Assessment {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	now := s.d.now()
	if !s.hasEvent {
		return Assessment{}
	}
	a := Assessment{Pause: now.Sub(s.lastEvent)}
	if now.Sub(s.nextAssessment) > maxScheduleDelay {
		s.d.resumedAt = now
	}
	if remaining := settleDelay - now.Sub(s.d.resumedAt); remaining > 0 {
		a.ReassessAfter = s.schedule(now, remaining)
		return a
	}
	s.findCandidates(now, &a)
	switch remaining := s.loneCheckDelay() - a.Pause; {
	case len(a.Candidates) == 0:
	case remaining > 0 && a.OverdueStreams < minOverdueStreams:
		a.ReassessAfter = s.schedule(now, remaining)
	case s.d.checking != nil:
		a.ReassessAfter = s.schedule(now, recheckDelay)
	default:
		s.d.checking = s
		s.checkStarted = now
	}
	return a
}

// findCandidates sets the candidates and the number of overdue streams. The caller holds
// the lock.
func (s *Stream) findCandidates(now time.Time, a *Assessment) {
	stalled := map[model.Incarnation]bool{}
	for _, inc := range s.path {
		e := s.d.engines[inc]
		if s.cleared(e) {
			continue
		}
		a.Candidates = append(a.Candidates, inc)
		if now.Sub(e.lastEvent) >= s.overdueDelay() {
			stalled[inc] = true
		}
	}
	if len(stalled) > 0 {
		a.OverdueStreams = s.d.countOverdue(now, stalled)
	}
}

// CheckFinished ends the check of the stream's path. A healthy path proves that its engines
// were working when the check began.
func (s *Stream) CheckFinished(healthy bool) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if s.d.checking == s {
		s.d.checking = nil
	}
	if !healthy {
		s.d.backoff = 1
		return
	}
	s.d.backoff = min(s.d.currentBackoff()*backoffFactor, maxBackoff)
	s.d.backoffSetAt = s.d.now()
	for _, inc := range s.path {
		if e := s.d.engines[inc]; e.lastEvent.Before(s.checkStarted) {
			e.lastEvent = s.checkStarted
		}
	}
}

// cleared reports whether an engine made progress for another stream after this stream's
// event was due. The caller holds the lock.
func (s *Stream) cleared(e *engine) bool {
	return e.lastEvent.Sub(s.lastEvent) >= s.overdueDelay()/minIntervalFactor
}

// countOverdue returns the number of overdue streams that use one of the engines. The
// caller holds the lock.
func (d *Detector) countOverdue(now time.Time, engines map[model.Incarnation]bool) int {
	n := 0
	for t := range d.streams {
		if t.hasEvent && now.Sub(t.lastEvent) >= t.overdueDelay() && t.usesAny(engines) {
			n++
		}
	}
	return n
}

func (s *Stream) usesAny(engines map[model.Incarnation]bool) bool {
	for _, inc := range s.path {
		if engines[inc] {
			return true
		}
	}
	return false
}
