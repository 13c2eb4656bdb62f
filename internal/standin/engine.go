package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	platformv1 "github.com/skylarkwood/skylarkwood/api/platform/v1"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// EngineConfig is the configuration of an Engine.
type EngineConfig struct {
	Range  model.LayerRange
	Layers int // of the whole model
	// StepTime is the time to run one layer on a batch.
	StepTime time.Duration
	// PositionTime is added for each layer and each position of the batch.
	PositionTime time.Duration
	// MaxBatch is the maximum number of positions in a batch.
	MaxBatch int
	Capacity int
	// IgnoreFence accepts requests with a stale fencing token, as the engines of some
	// deployments do.
	IgnoreFence bool
	// LoadLag is the interval at which the load report is updated.
	LoadLag time.Duration
}

// Rate returns the number of positions per second that the engine runs with full batches.
func (c EngineConfig) Rate() float64 {
	step := c.StepTime + time.Duration(c.MaxBatch)*c.PositionTime
	return float64(c.MaxBatch) / (step.Seconds() * float64(c.Range.Len()))
}

// Errors of the engine.
var (
	errStaleFence = errors.New("stale fencing token")
	errSequence   = errors.New("unexpected position")
	errRange      = errors.New("engine does not hold the layers")
	errEnded      = errors.New("session ended")
)

// Engine is a model engine with continuous batching. Steps that arrive while a batch runs
// are combined into the next one.
type Engine struct {
	cfg    EngineConfig
	wakeup chan struct{} // signals waiting steps; capacity 1
	stop   context.CancelFunc

	mu       sync.Mutex
	waiting  []*engineStep
	sessions map[string]*engineSession
	fence    int64
	runs     map[string]int64 // positions that ran through all held layers, by session
	reported platform.EngineLoad
	reportAt time.Time
}

type engineSession struct {
	layers []layerState
	first  int // layer of layers[0]
	next   int64
	ended  bool
}

type engineStep struct {
	platform.Step
	out  [][]byte
	err  error
	done chan struct{}
}

// NewEngine starts an engine. The caller must call Close to stop it.
func NewEngine(cfg EngineConfig) *Engine {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:      cfg,
		wakeup:   make(chan struct{}, 1),
		stop:     cancel,
		sessions: map[string]*engineSession{},
		runs:     map[string]int64{},
	}
	go e.loop(ctx)
	return e
}

// Close stops the engine. Waiting steps only return when their context is done.
func (e *Engine) Close() { e.stop() }

// PositionsRun returns the number of positions that the engine has run for sessions whose
// names begin with prefix. Tests use it to verify what ran.
func (e *Engine) PositionsRun(prefix string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := int64(0)
	for name, runs := range e.runs {
		if strings.HasPrefix(name, prefix) {
			n += runs
		}
	}
	return n
}

// Rate returns the engine's capacity, as EngineConfig.Rate does.
func (e *Engine) Rate() float64 { return e.cfg.Rate() }

// Range returns the layers that the engine holds.
func (e *Engine) Range() model.LayerRange { return e.cfg.Range }

// Sessions returns the number of sessions that have not ended.
func (e *Engine) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// Step implements platform.Engine.
func (e *Engine) Step(ctx context.Context, s platform.Step) ([][]byte, error) {
	if !e.cfg.Range.Contains(s.Range) {
		return nil, errRange
	}
	st := &engineStep{Step: s, done: make(chan struct{})}
	e.mu.Lock()
	if err := e.checkFence(s.Fence); err != nil {
		e.mu.Unlock()
		return nil, err
	}
	e.waiting = append(e.waiting, st)
	e.mu.Unlock()
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
	select {
	case <-st.done:
		return st.out, st.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e *Engine) checkFence(fence int64) error {
	if fence > e.fence {
		e.fence = fence
	}
	if fence < e.fence && !e.cfg.IgnoreFence {
		return errStaleFence
	}
	return nil
}

func (e *Engine) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wakeup:
		}
		for {
			batch, cost := e.nextBatch()
			if len(batch) == 0 {
				break
			}
			if !sleep(ctx, cost) {
				return
			}
			e.runBatch(batch)
		}
	}
}

// sleep waits for d and reports whether the engine is still running.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// nextBatch removes a batch from the waiting steps, in the order of their priority, and
// returns it with the time to run it. Steps that do not fit keep waiting.
func (e *Engine) nextBatch() ([]*engineStep, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.waiting, func(i, j int) bool {
		return e.waiting[i].Priority > e.waiting[j].Priority
	})
	var batch, rest []*engineStep
	positions, layers := 0, 0
	for _, st := range e.waiting {
		if len(batch) > 0 && positions+len(st.Inputs) > e.cfg.MaxBatch {
			rest = append(rest, st)
			continue
		}
		batch = append(batch, st)
		positions += len(st.Inputs)
		layers = max(layers, st.Range.Len())
	}
	e.waiting = rest
	cost := e.cfg.StepTime + time.Duration(positions)*e.cfg.PositionTime
	return batch, cost * time.Duration(layers)
}

func (e *Engine) runBatch(batch []*engineStep) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, st := range batch {
		st.out, st.err = e.runStep(st.Step)
		close(st.done)
	}
}

func (e *Engine) runStep(s platform.Step) ([][]byte, error) {
	ses, ok := e.sessions[s.Session]
	if !ok {
		ses = &engineSession{layers: make([]layerState, s.Range.Len()), first: s.Range.From}
		e.sessions[s.Session] = ses
	}
	if ses.ended {
		return nil, errEnded
	}
	if s.Position != ses.next || s.Range.From != ses.first || s.Range.Len() != len(ses.layers) {
		return nil, errors.Wrapf(errSequence, "position %d of %s, next %d", s.Position, s.Session, ses.next)
	}
	out := make([][]byte, 0, len(s.Inputs))
	for _, in := range s.Inputs {
		a := activation(s.Range.From, in)
		for i := range ses.layers {
			a = ses.layers[i].step(ses.first+i, a)
		}
		out = append(out, e.output(s.Range, a))
	}
	ses.next += int64(len(s.Inputs))
	e.runs[s.Session] += int64(len(s.Inputs))
	return out, nil
}

func (e *Engine) output(r model.LayerRange, a uint64) []byte {
	if r.To == e.cfg.Layers {
		return tokenOf(a)
	}
	return encode(a)
}

// EndSession implements platform.Engine.
func (e *Engine) EndSession(_ context.Context, session string, fence int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(fence); err != nil {
		return err
	}
	delete(e.sessions, session)
	return nil
}

// EndAll implements platform.Engine.
func (e *Engine) EndAll(_ context.Context, fence int64) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(fence); err != nil {
		return 0, err
	}
	n := len(e.sessions)
	for _, ses := range e.sessions {
		ses.ended = true
	}
	e.sessions = map[string]*engineSession{}
	for _, st := range e.waiting {
		st.err = errEnded
		close(st.done)
	}
	e.waiting = nil
	return n, nil
}

// Load implements platform.Engine. The report is up to LoadLag old.
func (e *Engine) Load(context.Context) (platform.EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reportAt) >= e.cfg.LoadLag {
		e.reportAt = now
		e.reported = platform.EngineLoad{
			Active:   len(e.sessions),
			Capacity: e.cfg.Capacity,
			Range:    e.cfg.Range,
			StepTime: e.cfg.StepTime,
			Rate:     e.cfg.Rate(),
			MaxBatch: e.cfg.MaxBatch,
		}
	}
	return e.reported, nil
}

// engineServer serves an Engine over the platform's protocol.
type engineServer struct{ e *Engine }

func (s engineServer) Step(ctx context.Context, r *connect.Request[platformv1.StepRequest]) (*connect.Response[platformv1.StepResponse], error) {
	out, err := s.e.Step(ctx, platform.Step{
		Session:  r.Msg.Session,
		Range:    model.LayerRange{From: int(r.Msg.FromLayer), To: int(r.Msg.ToLayer)},
		Position: r.Msg.Position,
		Inputs:   r.Msg.Inputs,
		Priority: int(r.Msg.Priority),
		Fence:    r.Msg.Fence,
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&platformv1.StepResponse{Outputs: out}), nil
}

func (s engineServer) EndSession(ctx context.Context, r *connect.Request[platformv1.EndSessionRequest]) (*connect.Response[platformv1.EndSessionResponse], error) {
	if err := s.e.EndSession(ctx, r.Msg.Session, r.Msg.Fence); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&platformv1.EndSessionResponse{}), nil
}

func (s engineServer) EndAll(ctx context.Context, r *connect.Request[platformv1.EndAllRequest]) (*connect.Response[platformv1.EndAllResponse], error) {
	n, err := s.e.EndAll(ctx, r.Msg.Fence)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&platformv1.EndAllResponse{Ended: int32(n)}), nil
}

func (s engineServer) GetLoad(ctx context.Context, _ *connect.Request[platformv1.GetLoadRequest]) (*connect.Response[platformv1.GetLoadResponse], error) {
	l, err := s.e.Load(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&platformv1.GetLoadResponse{
		Active:     int32(l.Active),
		Capacity:   int32(l.Capacity),
		FromLayer:  int32(l.Range.From),
		ToLayer:    int32(l.Range.To),
		StepMicros: l.StepTime.Microseconds(),

		PositionsPerSecond: l.Rate,
		Batch:              int32(l.MaxBatch),
	}), nil
}
