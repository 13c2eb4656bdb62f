package requests

// partBytes is the memory in bytes of a part of an answer besides its content.
const partBytes = 24

func sizeOf(parts [][]byte) int64 {
	n := int64(len(parts)) * partBytes
	for _, p := range parts {
		n += int64(len(p))
	}
	return n
}

// LimitAnswers bounds the memory of the answers that are kept for callers that reconnect, in bytes; 0 means
// no bound. The outcomes are kept in any case. It must be called before the store is used.
func (s *Store) LimitAnswers(bytes int64) { s.kept.Limit(bytes) }

// Size implements answers.Answer.
func (r *Request) Size() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Drop implements answers.Answer.
func (r *Request) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = int64(len(r.answer))
	r.answer, r.bytes, r.dropped = nil, 0, true
	r.notifyWaiters()
}

// AnswerDropped reports whether the answer is no longer kept.
func (r *Request) AnswerDropped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// MarkAnswerDropped records that the request has an answer that is kept nowhere.
func (r *Request) MarkAnswerDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts, r.dropped = 1, true
}
