package sidecar

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/gate"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
)

const incarnation = "incarnation"

// slowSender is a stage.Sender whose notifications about missing stages do not end.
type slowSender struct{ pending chan string }

func (s slowSender) Forward(context.Context, wire.Stage, wire.Forward) error     { return nil }
func (s slowSender) Tokens(context.Context, wire.Stage, wire.Tokens) error       { return nil }
func (s slowSender) StageFailed(context.Context, string, wire.StageFailed) error { return nil }
func (s slowSender) NoStage(ctx context.Context, addr string, _ wire.NoStage) error {
	s.pending <- addr
	<-ctx.Done()
	return ctx.Err()
}

// idleEngine is an engine that is never asked for a step.
type idleEngine struct{ platform.Engine }

func (idleEngine) EndSession(context.Context, string, int64) error { return nil }

func newSidecar(b Backend, s slowSender) *Sidecar {
	clock := hlc.New(time.Now)
	return New("self:1", gate.New(incarnation, 10, 10, time.Now), b, s, events.New("i", model.RoleSidecar, incarnation, clock, 100), time.Now)
}

func openOf(owner string, id int) wire.Open {
	key := wire.RunKey{RequestKey: model.RequestKey{Customer: "c", ID: fmt.Sprint(id)}, Run: "run"}
	return wire.Open{Key: key, Epoch: 1, Prompt: 1, Owner: owner, Chain: []wire.Stage{{Address: "self:1", Incarnation: incarnation}},
		Deadline: time.Now().Add(time.Hour), RetainUntil: time.Now().Add(time.Hour)}
}

// Guards against stages of exited entries that stay open, and against contacts that are recorded for each
// name of a sender.
func TestStagesOfSilentOwnersAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSidecar(Backend{Engine: idleEngine{}}, slowSender{})
		for i, owner := range []string{"silent:1", "alive:1", "alive:1"} {
			_, err := s.Open(t.Context(), owner, openOf(owner, i))
			assert.NilError(t, err)
		}
		for range 3 {
			time.Sleep(ownerTimeout / 2)
			s.RecordContact("alive:1")
			s.RecordContact("unknown:1")
			s.Sweep()
			synctest.Wait()
		}
		assert.Equal(t, s.Gate().Load().Active, 2)
		assert.Equal(t, len(s.owners.byAddress), 1)
		for i := range 3 {
			_, err := s.Close(t.Context(), "", wire.Close{Key: openOf("", i).Key})
			assert.NilError(t, err)
		}
		assert.Equal(t, len(s.owners.byAddress), 0)
	})
}

// Guards against notifications without a bound, whose receivers anybody can name.
func TestNotificationsAboutMissingStagesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := slowSender{pending: make(chan string, 10*maxMissingStageReplies)}
		s := newSidecar(Backend{}, sent)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 10 * maxMissingStageReplies {
			s.Forward(ctx, "from:1", wire.Forward{Key: openOf("", i).Key})
		}
		synctest.Wait()
		assert.Equal(t, len(sent.pending), maxMissingStageReplies)
		cancel()
		synctest.Wait()
		s.Forward(ctx, "from:1", wire.Forward{})
		synctest.Wait()
		assert.Equal(t, len(sent.pending), maxMissingStageReplies+1)
	})
}

// plainAnswers is a plain service whose answers ask for room first.
type plainAnswers struct {
	take int64
	err  error
}

func (p plainAnswers) Call(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	if err := platform.TakeRoom(ctx, p.take); err != nil {
		return nil, err
	}
	return make([]byte, 10), p.err
}

// Guards against answers whose memory is not given back, because the call failed or its reply was written.
func TestAnswersGiveTheirMemoryBack(t *testing.T) {
	const memory = 1 << 20
	for name, backend := range map[string]plainAnswers{
		"answered":  {take: memory / 2},
		"failed":    {take: memory / 2, err: errors.New("failed")},
		"too large": {take: 2 * memory},
	} {
		t.Run(name, func(t *testing.T) {
			b := clientbudget.New(clientbudget.Limits{Memory: memory}, func() time.Duration { return 0 })
			s := newSidecar(Backend{Plain: backend, Clients: b}, slowSender{})
			o := openOf("", 0)
			reply, err := s.Call(t.Context(), "entry:1", wire.Call{Key: o.Key, Attempt: 1, Incarnation: incarnation, Deadline: o.Deadline, RetainUntil: o.RetainUntil})
			if name == "answered" {
				assert.NilError(t, err)
				assert.Equal(t, b.Usage().Bytes, int64(memory/2))
				reply.Written()
			} else {
				assert.Assert(t, err != nil)
			}
			assert.Equal(t, b.Usage().Bytes, int64(0))
		})
	}
}
