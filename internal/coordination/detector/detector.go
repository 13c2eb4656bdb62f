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
	// deviations is how many mean deviations beyond its mean interval an event may be
	// late before its stream is overdue.
	deviations = 4
	// leastFactor is the least multiple of the mean interval that makes a stream overdue.
	leastFactor = 2
	// leastOverdue is the shortest interval after which a stream is overdue.
	leastOverdue = 40 * time.Millisecond
	// aloneShare is the share of the pause that a route allows after which a stream is
	// checked though no other stream is overdue with it.
	aloneShare = 0.4
	// defaultPause is the pause that a route allows which names none.
	defaultPause = 200 * time.Millisecond
	// scheduleSlack is how late a check may run; beyond it this process was paused.
	scheduleSlack = 10 * time.Millisecond
	// settleTime is how long after a pause of this process no stream is judged: events
	// may be waiting to be read.
	settleTime = 30 * time.Millisecond
	// quorum is how many streams that are overdue together are checked early.
	quorum = 2
	// checkTurn is after how long a stream is assessed again while another one's path is
	// checked.
	checkTurn = 10 * time.Millisecond
	// cautionStep and mostCaution are by how much, and how far at most, each check of a
	// path that held raises the thresholds; cautionTime is how long that takes to fade.
	cautionStep = 1.5
	mostCaution = 3
	cautionTime = 5 * time.Second
)

// Detector relates the progress of this process's streams to the engines they run through.
type Detector struct {
	now func() time.Time

	mu      sync.Mutex
	streams map[*Stream]struct{}
	engines map[model.Incarnation]*engine
	resumed time.Time // when this process was last seen to go on after a pause
	// checking is the stream whose path is checked; one at a time, as its result speaks
	// for the others.
	checking *Stream
	// caution multiplies the thresholds, as of cautioned.
	caution   float64
	cautioned time.Time
}

// engine is what streams say of one engine.
type engine struct {
	progress time.Time // newest event of a stream through it
	streams  int
}

// New makes a detector that knows no streams.
func New(now func() time.Time) *Detector {
	return &Detector{now: now, streams: map[*Stream]struct{}{}, engines: map[model.Incarnation]*engine{}, caution: 1}
}

// Stream is the progress of one stream.
type Stream struct {
	d       *Detector
	allowed time.Duration

	path []model.Incarnation
	// asked is when the check of its path began.
	asked time.Time
	// running says that an event came through the present path.
	running bool
	last    time.Time
	due     time.Time // when the next check is scheduled
	// mean and deviation describe the interval between events, in seconds.
	mean, deviation float64
}

// Track adds a stream through some engines. expected is the interval between its events
// as planned, allowed the longest pause that is still on time; 0 for the default.
func (d *Detector) Track(path []model.Incarnation, expected, allowed time.Duration) *Stream {
	if allowed <= 0 {
		allowed = defaultPause
	}
	s := &Stream{d: d, allowed: allowed, mean: expected.Seconds(), deviation: expected.Seconds() / 2}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[s] = struct{}{}
	s.enter(path)
	return s
}

// enter and leave count the stream at its engines. The caller holds the lock.
func (s *Stream) enter(path []model.Incarnation) {
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

func (s *Stream) leave() {
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
	if s.running {
		s.observe(now.Sub(s.last).Seconds())
	}
	s.running = true
	s.last = now
	for _, inc := range s.path {
		s.d.engines[inc].progress = now
	}
	return s.schedule(now, s.overdueAfter())
}

func (s *Stream) observe(interval float64) {
	off := interval - s.mean
	s.mean += meanWeight * off
	s.deviation += deviationWeight * (max(off, -off) - s.deviation)
}

func (s *Stream) schedule(now time.Time, after time.Duration) time.Duration {
	s.due = now.Add(after)
	return after
}

// overdueAfter is the pause after which the stream is overdue. The caller holds the lock.
func (s *Stream) overdueAfter() time.Duration {
	late := max(s.mean+deviations*s.deviation, leastFactor*s.mean)
	return time.Duration(s.d.care() * float64(max(time.Duration(late*float64(time.Second)), leastOverdue)))
}

// care is the factor that checks of paths which held leave on the thresholds for a while.
// The caller holds the lock.
func (d *Detector) care() float64 {
	left := 1 - d.now().Sub(d.cautioned).Seconds()/cautionTime.Seconds()
	return 1 + (d.caution-1)*max(left, 0)
}

// aloneAfter is the pause after which the stream is checked without others. The caller
// holds the lock.
func (s *Stream) aloneAfter() time.Duration {
	return max(time.Duration(s.d.care()*aloneShare*float64(s.allowed)), s.overdueAfter())
}

// Reroute takes in that the stream runs through other engines now. It is not judged
// before its next event: its new engines read all tokens so far.
func (s *Stream) Reroute(path []model.Incarnation) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if _, ok := s.d.streams[s]; !ok {
		return
	}
	s.leave()
	s.enter(path)
	s.running = false
}

// Close removes the stream; further calls do nothing.
func (s *Stream) Close() {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if _, ok := s.d.streams[s]; ok {
		delete(s.d.streams, s)
		s.leave()
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
	if !s.running {
		return Assessment{}
	}
	a := Assessment{Pause: now.Sub(s.last)}
	if now.Sub(s.due) > scheduleSlack {
		s.d.resumed = now
	}
	if rest := settleTime - now.Sub(s.d.resumed); rest > 0 {
		a.ReassessAfter = s.schedule(now, rest)
		return a
	}
	s.weigh(now, &a)
	switch rest := s.aloneAfter() - a.Pause; {
	case len(a.Candidates) == 0:
	case rest > 0 && a.OverdueStreams < quorum:
		a.ReassessAfter = s.schedule(now, rest)
	case s.d.checking != nil:
		a.ReassessAfter = s.schedule(now, checkTurn)
	default:
		s.d.checking = s
		s.asked = now
	}
	return a
}

// weigh finds the candidates and the streams that are overdue with this one. The caller
// holds the lock.
func (s *Stream) weigh(now time.Time, a *Assessment) {
	quiet := map[model.Incarnation]bool{}
	for _, inc := range s.path {
		e := s.d.engines[inc]
		if s.cleared(e) {
			continue
		}
		a.Candidates = append(a.Candidates, inc)
		if now.Sub(e.progress) >= s.overdueAfter() {
			quiet[inc] = true
		}
	}
	if len(quiet) > 0 {
		a.OverdueStreams = s.d.overdue(now, quiet)
	}
}

// CheckFinished ends the check of the stream's path. If the path held, its engines worked when
// it was asked about.
func (s *Stream) CheckFinished(held bool) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if s.d.checking == s {
		s.d.checking = nil
	}
	if !held {
		s.d.caution = 1
		return
	}
	s.d.caution = min(s.d.care()*cautionStep, mostCaution)
	s.d.cautioned = s.d.now()
	for _, inc := range s.path {
		if e := s.d.engines[inc]; e.progress.Before(s.asked) {
			e.progress = s.asked
		}
	}
}

// cleared tells whether an engine made progress for another stream after it was due for
// this one. The caller holds the lock.
func (s *Stream) cleared(e *engine) bool {
	return e.progress.Sub(s.last) >= s.overdueAfter()/leastFactor
}

// overdue counts the streams that are overdue and run through one of some engines. The
// caller holds the lock.
func (d *Detector) overdue(now time.Time, engines map[model.Incarnation]bool) int {
	n := 0
	for t := range d.streams {
		if t.running && now.Sub(t.last) >= t.overdueAfter() && t.through(engines) {
			n++
		}
	}
	return n
}

func (s *Stream) through(engines map[model.Incarnation]bool) bool {
	for _, inc := range s.path {
		if engines[inc] {
			return true
		}
	}
	return false
}
