package stage

import (
	"context"

	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// outgoing holds the messages of one flush. It is filled under the lock and sent after
// unlocking.
type outgoing struct {
	epoch   int64
	owner   wire.Stage
	next    wire.Stage
	forward *wire.Forward
	tokens  *wire.Tokens
}

// flush sends the outputs that the receivers are missing. A lost message is detected by
// the owner, which raises the epoch and resumes from the receivers' positions.
func (s *Session) flush(ctx context.Context) {
	out := s.takeOutgoing()
	if out.tokens != nil {
		_ = s.send.Tokens(ctx, out.owner, *out.tokens)
	}
	if out.forward == nil {
		return
	}
	err := s.send.Forward(ctx, out.next, *out.forward)
	if err != nil && ctx.Err() == nil {
		_ = s.send.StageFailed(ctx, out.owner.Address, wire.StageFailed{
			Key:     s.key,
			Epoch:   out.epoch,
			Address: out.next.Address,
			Cause:   err.Error(),
		})
	}
}

func (s *Session) takeOutgoing() outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := outgoing{epoch: s.open.Epoch, owner: wire.Stage{Address: s.open.Owner, Data: s.open.OwnerData}}
	if !s.resumed {
		return out
	}
	if s.last() {
		s.takeTokens(&out)
		return out
	}
	out.next = s.open.Chain[s.open.Index+1]
	out.forward = s.sliceOutputs(s.toNext, int64(len(s.outputs)), 0)
	s.toNext = max(s.toNext, int64(len(s.outputs)))
	return out
}

// takeTokens fills out at the last stage. The output at position p is the first stage's
// input at p+1. From the last prompt position on it is also a token for the owner.
func (s *Session) takeTokens(out *outgoing) {
	firstToken := s.open.Prompt - 1 // position whose output is token 0
	end := min(int64(len(s.outputs)), firstToken+s.open.Tokens)
	if f := s.sliceOutputs(firstToken+s.toOwner, end, 0); f != nil {
		out.tokens = &wire.Tokens{Key: s.key, Epoch: f.Epoch, Position: s.toOwner, Data: f.Data}
		s.toOwner = end - firstToken
	}
	// The last requested token is not an input of any stage.
	from := max(s.toFirst, s.open.Prompt)
	out.next = s.open.Chain[0]
	out.forward = s.sliceOutputs(from-1, min(end, firstToken+s.open.Tokens-1), 1)
	if out.forward != nil {
		s.toFirst = out.forward.Position + int64(len(out.forward.Data))
	}
}

// sliceOutputs returns a message with the outputs of positions [from, to), or nil if
// there are none. The receiver takes them as inputs of the positions plus shift.
func (s *Session) sliceOutputs(from, to, shift int64) *wire.Forward {
	if from >= to || from < 0 {
		return nil
	}
	return &wire.Forward{
		Key:      s.key,
		Epoch:    s.open.Epoch,
		Position: from + shift,
		Data:     s.outputs[from:to:to],
	}
}
