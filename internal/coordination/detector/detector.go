// Package detector infers from the progress of running streams which engines of their
// chains may have failed. It is passive: it sends nothing, and its answers are
// candidates that the caller confirms.
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
	// maxDeviations is how many mean maxDeviations beyond its mean interval an event may be
	// late before its stream is overdue.
	maxDeviations = 4
	// minIntervalFactor is the least multiple of the mean interval that makes a stream overdue.
	minIntervalFactor = 2
	// minOverdueDelay is the shortest interval after which a stream is overdue.
	minOverdueDelay = 40 * time.Millisecond
	// loneCheckShare is the share of the pause that a route allows after which a stream is
	// checked though no other stream is overdue with it.
	loneCheckShare = 0.4
	// defaultMaxPause is the pause that a route allows which names none.
	defaultMaxPause = 200 * time.Millisecond
	// maxScheduleDelay is how late a check may run; beyond it this process was paused.
	maxScheduleDelay = 10 * time.Millisecond
	// settleDelay is how long after a pause of this process no stream is judged: events
	// may be waiting to be read.
	settleDelay = 30 * time.Millisecond
	// minOverdueStreams is how many streams that are overdue together are checked early.
	minOverdueStreams = 2
	// recheckDelay is after how long a stream is assessed again while another one's path is
	// checked.
	recheckDelay = 10 * time.Millisecond
	// backoffFactor and mostCaution are by how much, and how far at most, each check of a
	// path that held raises the thresholds; cautionTime is how long that takes to fade.
	backoffFactor    = 1.5
	maxBackoff       = 3
	backoffDecayTime = 5 * time.Second
)

// Detector relates the progress of this process's streams to the engines they run through.
type Detector struct {
	now func() time.Time

	mu        sync.Mutex
	streams   map[*Stream]struct{}
	engines   map[model.Incarnation]*engine
	resumedAt time.Time // when this process was last seen to go on after a pause
	// checking is the stream whose path is checked; one at a time, as its result speaks
	// for the others.
	checking *Stream
	// backoff multiplies the thresholds, as of cautioned.
	backoff      float64
	backoffSetAt time.Time
}

// engine is what streams say of one engine.
type engine struct {
	lastEvent time.Time // newest event of a stream through it
	streams   int
}

// New makes a detector that knows no streams.
func New(now func() time.Time) *Detector {
	return &Detector{now: now, streams: map[*Stream]struct{}{}, engines: map[model.Incarnation]*engine{}, backoff: 1}
}

// Stream is the progress of one stream.
type Stream struct {
	d        *Detector
	maxPause time.Duration

	path []model.Incarnation
	// checkStarted is when the check of its path began.
	checkStarted time.Time
	// hasEvent says that an event came through the present path.
	hasEvent       bool
	lastEvent      time.Time
	nextAssessment time.Time // when the next check is scheduled
	// mean and deviation describe the interval between events, in seconds.
	mean, deviation float64
}

// Track adds a stream through some engines. expected is the interval between its events
// as planned, allowed the longest pause that is still on time; 0 for the default.
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

// addToEngines and leave count the stream at its engines. The caller holds the lock.
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

// RecordEvent takes in an event and gives the time until the stream's next check.
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
	off := interval - s.mean
	s.mean += meanWeight * off
	s.deviation += deviationWeight * (max(off, -off) - s.deviation)
}

func (s *Stream) schedule(now time.Time, after time.Duration) time.Duration {
	s.nextAssessment = now.Add(after)
	return after
}

// overdueDelay is the pause after which the stream is overdue. The caller holds the lock.
func (s *Stream) overdueDelay() time.Duration {
	late := max(s.mean+maxDeviations*s.deviation, minIntervalFactor*s.mean)
	return time.Duration(s.d.currentBackoff() * float64(max(time.Duration(late*float64(time.Second)), minOverdueDelay)))
}

// currentBackoff is the factor that checks of paths which held leave on the thresholds for a while.
// The caller holds the lock.
func (d *Detector) currentBackoff() float64 {
	remaining := 1 - d.now().Sub(d.backoffSetAt).Seconds()/backoffDecayTime.Seconds()
	return 1 + (d.backoff-1)*max(remaining, 0)
}

// loneCheckDelay is the pause after which the stream is checked without others. The caller
// holds the lock.
func (s *Stream) loneCheckDelay() time.Duration {
	return max(time.Duration(s.d.currentBackoff()*loneCheckShare*float64(s.maxPause)), s.overdueDelay())
}

// Reroute takes in that the stream runs through other engines now. It is not judged
// before its next event: its new engines read all tokens so far.
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

// Close removes the stream; further calls do nothing.
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

// Assessment is what progress says of a stream that was due.
type Assessment struct {
	// Pause is the time since the stream's last event.
	Pause time.Duration
	// Candidates are its engines of which no newer progress was seen.
	Candidates []model.Incarnation
	// OverdueStreams counts the streams that are overdue, this one included, and run through a
	// candidate that no stream has had an event from for as long.
	OverdueStreams int
	// ReassessAfter is when to assess the stream once more if its path need not be checked now;
	// 0 where it is to be checked, or where progress clears all of its engines.
	ReassessAfter time.Duration
}

// NeedsCheck tells whether the stream's path is to be checked now.
func (a Assessment) NeedsCheck() bool { return len(a.Candidates) > 0 && a.ReassessAfter == 0 }

// Assess judges a stream when it is due. Where its path is to be checked the caller
// does so and calls Checked.
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
	if rest := settleDelay - now.Sub(s.d.resumedAt); rest > 0 {
		a.ReassessAfter = s.schedule(now, rest)
		return a
	}
	s.findCandidates(now, &a)
	switch rest := s.loneCheckDelay() - a.Pause; {
	case len(a.Candidates) == 0:
	case rest > 0 && a.OverdueStreams < minOverdueStreams:
		a.ReassessAfter = s.schedule(now, rest)
	case s.d.checking != nil:
		a.ReassessAfter = s.schedule(now, recheckDelay)
	default:
		s.d.checking = s
		s.checkStarted = now
	}
	return a
}

// findCandidates finds the candidates and the streams that are overdue with this one. The caller
// holds the lock.
func (s *Stream) findCandidates(now time.Time, a *Assessment) {
	quiet := map[model.Incarnation]bool{}
	for _, inc := range s.path {
		e := s.d.engines[inc]
		if s.cleared(e) {
			continue
		}
		a.Candidates = append(a.Candidates, inc)
		if now.Sub(e.lastEvent) >= s.overdueDelay() {
			quiet[inc] = true
		}
	}
	if len(quiet) > 0 {
		a.OverdueStreams = s.d.countOverdue(now, quiet)
	}
}

// CheckFinished ends the check of the stream's path. If the path held, its engines worked when
// it was asked about.
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

// cleared tells whether an engine made progress for another stream after it was due for
// this one. The caller holds the lock.
func (s *Stream) cleared(e *engine) bool {
	return e.lastEvent.Sub(s.lastEvent) >= s.overdueDelay()/minIntervalFactor
}

// countOverdue counts the streams that are countOverdue and run through one of some engines. The
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
