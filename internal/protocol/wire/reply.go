package wire

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Holder is a reply that holds its memory itself until it was written.
type Holder interface{ Written() }

// Sized is a reply whose size is known before it is encoded.
type Sized interface {
	// ReplySize returns the size in bytes.
	ReplySize() int64
}

// CallReply carries the backend server's response.
type CallReply struct {
	Body []byte `json:"body"`
	Load Load   `json:"load"`
	// Release gives back the memory that the reply holds, as received and as encoded. It may be nil.
	Release func() `json:"-"`
}

// Written implements Holder.
func (r CallReply) Written() {
	if r.Release != nil {
		r.Release()
	}
}

// CancelReply carries the execution state and, if the gate still has it, the response.
type CancelReply struct {
	State ExecutionState `json:"verdict"`
	Body  []byte         `json:"body,omitempty"`
	// Dropped means that the backend server has answered and that the answer is no longer kept.
	Dropped bool `json:"dropped,omitempty"`
}

// ReplySize implements Sized.
func (r CancelReply) ReplySize() int64 { return int64(len(r.Body)) }

// OutcomeReply returns an entry's record of a request. Known is false if there is none.
type OutcomeReply struct {
	Known   bool          `json:"known"`
	Outcome model.Outcome `json:"outcome"`
	Answer  [][]byte      `json:"answer,omitempty"`
	// Dropped means that the answer is no longer kept.
	Dropped bool `json:"dropped,omitempty"`
	// Started is when the entry started. It has no records of earlier requests.
	Started time.Time `json:"started"`
}

// ReplySize implements Sized.
func (r OutcomeReply) ReplySize() (n int64) {
	for _, part := range r.Answer {
		n += int64(len(part))
	}
	return n
}
