package gate

// LimitAnswers bounds the memory of the answers that are kept for entries which lost them, in bytes; 0 means
// no bound. The records of requests stay. It must be called before the gate is used.
func (g *Gate) LimitAnswers(bytes int64) { g.answers.Limit(bytes) }

// keep keeps the answer of a finished request. The caller must hold g.mu.
func (g *Gate) keep(rec *record, answer []byte) {
	rec.answer = answer
	g.answers.Grow(rec.Size())
	g.answers.Finish(rec)
}

// Size implements answers.Answer. The caller must hold the mutex of the gate.
func (rec *record) Size() int64 { return int64(len(rec.answer)) }

// Drop implements answers.Answer. The caller must hold the mutex of the gate.
func (rec *record) Drop() { rec.answer, rec.answerDropped = nil, true }
