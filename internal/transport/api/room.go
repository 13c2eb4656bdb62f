package api

import (
	"context"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
)

// sentFactor times the size of a part of an answer is the memory that it takes until the caller has read it:
// the part, joined, and as encoded in a buffer that grows.
const sentFactor = 4

// answerRoom is the memory that the account of a caller holds for the parts of its answer, until the call ends.
type answerRoom struct {
	account *clientbudget.Account
	held    int64
}

func newAnswerRoom(ctx context.Context) *answerRoom {
	return &answerRoom{account: guard.ConnOf(ctx).Account()}
}

// need returns the memory for a part of a size. The largest answer needs no more than an empty budget holds.
func (r *answerRoom) need(size int64) int64 {
	return min(sentFactor*size, r.account.LargestBody())
}

// lacks reports whether there is not yet room for a part of a size.
func (r *answerRoom) lacks(size int64) bool { return r.need(size) > r.held }

// reserve takes room for parts up to a size, and waits for it for a short time.
func (r *answerRoom) reserve(ctx context.Context, size int64) bool {
	more := r.need(size) - r.held
	if !r.account.Wait(ctx, more) {
		return false
	}
	r.held += max(more, 0)
	return true
}

// noRoom returns the error for a caller whose response finds no room, with the time to come back.
func noRoom(ctx context.Context, msg string) *fault.Error {
	f := fault.New(fault.Overloaded, "%s", msg)
	f.RetryAfter = guard.ConnOf(ctx).Account().RetryAfter()
	return f
}

// maxJoined is the size in bytes up to which parts are sent together. A caller that is behind gets what it
// lacks in several messages, so that it needs no more room than one that is not.
const maxJoined = 4 << 10

// firstParts returns the parts that are sent in one message: the first one, and what follows up to maxJoined.
func firstParts(parts [][]byte) [][]byte {
	size := 0
	for i, p := range parts {
		if size += len(p); i > 0 && size > maxJoined {
			return parts[:i]
		}
	}
	return parts
}

func sizeOf(parts [][]byte) (n int64) {
	for _, p := range parts {
		n += int64(len(p))
	}
	return n
}
