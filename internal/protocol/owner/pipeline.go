package owner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/membership"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routing"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/events"
)

const (
	// feedBatch is how many positions one message to the first stage carries.
	feedBatch = 256
	// maxRepairs bounds chain repairs without a new token between them.
	maxRepairs = 8
	// maxOpenTries bounds attempts to open a first chain. All of them end
	// before anything ran.
	maxOpenTries = 6
	// fullAfter is after how many refusals the engines are taken to be full.
	fullAfter  = 3
	firstPause = 10 * time.Millisecond
	maxPause   = 200 * time.Millisecond
	// watchEvery is how often the membership is compared with the chain.
	watchEvery = 50 * time.Millisecond
)

// run is one pipeline request as its owner sees it.
type run struct {
	*job
	o      *Owner
	prompt [][]byte
	epoch  int64
	chain  []wire.Hop
	// used are the stages that were ever opened, to be closed at the end.
	used map[string]bool
	// avoid are stages that failed this request.
	avoid    map[string]bool
	reported map[string]int // failure reports by stage address
	cuts     map[string]int // losses on links by the address at either end
	started  bool           // the first stage was fed: it may have run
	sentOnce bool           // first token was seen
	probed   []stageAt      // where the stages stood at the last look
	idle     int            // looks in a row at which no stage had moved

	arrived chan struct{}         // signals new tokens; buffered by one
	failed  chan wire.StageFailed // reports from stages
}

// servePipeline runs a request over a chain. A request that is not repeatable
// comes with its plan, which it must keep to.
func (o *Owner) servePipeline(ctx context.Context, j *job, plan []wire.Hop) model.Outcome {
	r := &run{
		job:      j,
		o:        o,
		prompt:   splitPrompt(j.ask.Body),
		chain:    plan,
		used:     map[string]bool{},
		avoid:    map[string]bool{},
		reported: map[string]int{},
		cuts:     map[string]int{},
		arrived:  make(chan struct{}, 1),
		failed:   make(chan wire.StageFailed, 16),
	}
	o.runs.Put(j.runKey().String(), r)
	defer o.runs.Delete(j.runKey().String())
	// The outcome does not wait for the stages to close.
	defer func() { go r.closeAll() }()
	if err := r.openFirst(ctx); err != nil {
		return r.ended(ctx, err)
	}
	return r.follow(ctx)
}

// splitPrompt makes one input of each word; tokenising is the engines' matter
// and the stand-ins take any.
func splitPrompt(body []byte) [][]byte {
	var out [][]byte
	start := 0
	for i, b := range body {
		if b == ' ' && i > start {
			out = append(out, body[start:i+1])
			start = i + 1
		}
	}
	if start < len(body) {
		out = append(out, body[start:])
	}
	return out
}

// openFirst opens a chain and feeds it the prompt. Refusals are answered by
// another chain, a few times; none of them lets anything run.
func (r *run) openFirst(ctx context.Context) error {
	pause := firstPause
	for try := 1; ; try++ {
		err := r.establish(ctx)
		if err == nil {
			return nil
		}
		e := fault.From(err)
		// One refusal is chance: loads lag. Several in a row mean that it is full.
		if e.Kind == fault.Overloaded && try >= fullAfter {
			r.o.Room.Full()
		}
		if r.notRepeatable || try == maxOpenTries || !e.Kind.Answer().Retryable {
			return err
		}
		if !sleep(ctx, limits.Jitter(pause)) {
			return fault.New(fault.Deadline, "no chain opened before the deadline: %s", e.Msg)
		}
		pause = min(2*pause, maxPause)
		if !r.started {
			clear(r.avoid) // a gate that was full may have room now
		}
	}
}

// follow waits for the tokens and repairs the chain under them.
func (r *run) follow(ctx context.Context) model.Outcome {
	watch := time.NewTicker(watchEvery)
	defer watch.Stop()
	repairs, have := 0, r.req.Len()
	beat := pulse{at: r.o.Now()}
	told := r.o.Now()
	for {
		if n := r.req.Len(); n > have {
			r.firstToken(n)
			repairs, have = 0, n
			beat.beat(r.o.Now())
		}
		if have == int64(r.ask.MaxTokens) {
			return model.Outcome{State: model.Ran, Evidence: fmt.Sprintf("all %d tokens, epoch %d", have, r.epoch)}
		}
		var broken string
		select {
		case <-r.arrived:
			continue
		case <-ctx.Done():
			return r.ended(ctx, fault.New(fault.Deadline, "deadline passed after %d of %d tokens", have, r.ask.MaxTokens))
		case f := <-r.failed:
			broken = r.judge(f)
		case <-watch.C:
			if r.o.Now().Sub(told) > tellEvery {
				told = r.o.Now()
				go r.tellAlive(ctx, r.chain)
			}
			wait := beat.patience(r.o.Timing.Stall, have, repairs)
			if broken = r.lostMember(); broken == "" && r.o.Now().Sub(beat.at) > wait {
				broken = r.look(ctx)
				beat.at = r.o.Now().Add(minSilence - wait) // look again soon
			}
		}
		if broken == "" {
			continue
		}
		if repairs++; repairs > maxRepairs {
			return r.ended(ctx, fault.New(fault.BackendLost, "chain could not be repaired: %s", broken))
		}
		if err := r.repair(ctx, broken); err != nil {
			return r.ended(ctx, err)
		}
		beat.at = r.o.Now()
	}
}

// pulse follows the time between tokens, to tell silence from slowness.
type pulse struct {
	at       time.Time
	smoothed time.Duration
}

func (p *pulse) beat(now time.Time) {
	d := now.Sub(p.at)
	p.at = now
	if p.smoothed == 0 {
		p.smoothed = d
	}
	p.smoothed += (d - p.smoothed) / 8
}

const (
	// silentAfter is how many usual intervals without a token call for a look.
	silentAfter = 8
	// minSilence keeps looks rare where tokens come fast.
	minSilence = 300 * time.Millisecond
)

// patience is how long to wait for a token before looking at the stages. A look
// that finds a slow chain costs a message to each stage and changes nothing.
// After a repair a token should come soon, or the repair was the wrong one; but
// over a slow link it takes a while, and each further repair sends more over it.
func (p *pulse) patience(most time.Duration, tokens int64, repairs int) time.Duration {
	if repairs > 0 {
		return min(minSilence<<(repairs-1), 2*most)
	}
	if tokens < 2 {
		return most // the prompt may take long
	}
	return min(max(silentAfter*p.smoothed, minSilence), most)
}

func (r *run) firstToken(n int64) {
	if r.sentOnce {
		return
	}
	r.sentOnce = true
	r.o.Events.Add(r.key(), events.FirstToken, fmt.Sprintf("%d tokens", n))
}

// ended gives the outcome of a request that got no whole answer. Nothing has
// run before the first stage was fed.
func (r *run) ended(_ context.Context, err error) model.Outcome {
	e := fault.From(err)
	if e.After() > 0 {
		e = &fault.Error{Kind: e.Kind, Msg: e.Msg, RetryAfter: limits.Jitter(e.After())}
	}
	if !r.started {
		return fault.NotRun(e, "never handed over: the first stage was not fed")
	}
	return fault.CutOff(e, fmt.Sprintf("%d of %d tokens came, epoch %d", r.req.Len(), r.ask.MaxTokens, r.epoch))
}

// judge decides on a stage's report; it gives what is broken, if anything. A
// stage that two reports call unreachable is left out even if this entry still
// reaches it: the link that counts is the one between the stages.
func (r *run) judge(f wire.StageFailed) string {
	if f.Epoch != r.epoch {
		return ""
	}
	r.reported[f.Address]++
	if r.reported[f.Address] > 1 {
		r.avoid[f.Address] = true
	}
	return f.Address + ": " + f.Cause
}

// lostMember compares the chain with the membership.
func (r *run) lostMember() string {
	for _, h := range r.chain {
		m, ok := r.o.Table.Get(h.Address)
		if ok && m.Down() {
			return h.Address + ": does not answer"
		}
		if ok && m.Incarnation != h.Incarnation {
			r.avoid[h.Address] = false
			return h.Address + ": was replaced"
		}
	}
	return ""
}

// tellEvery is how often the stages of a long request are told that its owner
// lives: in a large fleet heartbeats alone come too seldom for them.
const tellEvery = 5 * time.Second

// tellAlive sends a heartbeat to each stage of a chain.
func (r *run) tellAlive(ctx context.Context, chain []wire.Hop) {
	for _, h := range chain {
		var rep wire.HelloReply
		if r.o.call(ctx, h.Address, wire.MethodHello, wire.Hello{Known: h.Incarnation}, &rep) == nil {
			r.o.Table.SeenLoad(h.Address, membership.Load(rep.Load))
		}
	}
}

// stageAt is how far a stage has come.
type stageAt struct{ accepted, ran int64 }

// maxIdle is how many looks in a row may find a stage with work and no
// progress before its engine is taken to hang.
const maxIdle = 10

// look asks the stages how far they are when no token has come for a while, and
// gives what is broken, if anything. Under load a chain is slow, not lost:
// raising the epoch then would replay positions and make it slower. Only a
// stage that does not answer, an engine that hangs, or positions lost on a link
// call for a repair.
func (r *run) look(ctx context.Context) string {
	now := make([]stageAt, len(r.chain))
	silent := make([]bool, len(r.chain))
	var g errgroup.Group
	for i, h := range r.chain {
		g.Go(func() error {
			var rep wire.OpenReply
			if err := r.o.callTwice(ctx, h.Address, wire.MethodOpen, r.openMessage(i), &rep); err != nil {
				silent[i] = true
				return errors.Wrap(err, h.Address)
			}
			now[i] = stageAt{rep.Next, rep.Ran}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		r.leaveOut(silent)
		return err.Error()
	}
	moved := !slices.Equal(now, r.probed)
	r.probed = now
	if moved {
		r.idle = 0
		return ""
	}
	if i := slices.IndexFunc(now, func(s stageAt) bool { return s.ran < s.accepted }); i >= 0 {
		r.idle++
		return r.hanging(i)
	}
	return r.lostOnLink(now)
}

// leaveOut keeps the next chain from the stages that gave no good answer.
func (r *run) leaveOut(silent []bool) {
	for i, h := range r.chain {
		if silent[i] {
			r.avoid[h.Address] = true
			r.o.Table.Missed(h.Address)
		}
	}
}

// lostOnLink finds the link on which positions were lost: what a stage ran, the
// next has not taken, and nobody has work. A lost message is mended by the next
// epoch. A link that loses again is cut for good, though both ends answer this
// entry: the end it leads to is replaced, and if that does not help the other.
func (r *run) lostOnLink(now []stageAt) string {
	for i := range now {
		next := (i + 1) % len(now)
		if now[next].accepted >= r.wanted(i, now[i].ran) {
			continue
		}
		from, to := r.chain[i].Address, r.chain[next].Address
		r.cuts[from]++
		r.cuts[to]++
		switch {
		case r.cuts[from] > suspectSender:
			r.avoid[from] = true
		case r.cuts[to] > 1:
			r.avoid[to] = true
		}
		return from + " to " + to + ": positions were lost"
	}
	return "tokens were lost on the way here"
}

// suspectSender is after how many losses the sending end is replaced.
const suspectSender = 2

// wanted is what the stage after i should have taken when i has run so many
// positions. The last stage's outputs are the first one's inputs, one position
// on, from the end of the prompt to the last token but one.
func (r *run) wanted(i int, ran int64) int64 {
	if i < len(r.chain)-1 {
		return ran
	}
	prompt := int64(len(r.prompt))
	if ran < prompt {
		return 0
	}
	return min(ran+1, prompt+int64(r.ask.MaxTokens)-1)
}

// hanging gives up on a stage whose engine has had work for long and done none.
func (r *run) hanging(i int) string {
	if r.idle < maxIdle {
		return ""
	}
	r.idle = 0
	r.avoid[r.chain[i].Address] = true
	return r.chain[i].Address + ": engine hangs"
}

// repair raises the epoch over a chain in which lost stages are replaced. A
// request that is not repeatable keeps its chain or is cut off: a replacement
// would run layers a second time.
func (r *run) repair(ctx context.Context, broken string) error {
	r.o.Events.Add(r.key(), events.StageLost, broken)
	pause := firstPause
	for try := 1; ; try++ {
		err := r.establish(ctx)
		if err == nil {
			return nil
		}
		e := fault.From(err)
		if r.notRepeatable {
			return fault.New(fault.BackendLost, "a stage was lost and the request is not repeatable: %s", e.Msg)
		}
		if try == maxRepairs {
			return fault.New(fault.BackendLost, "no replacement for a lost stage: %s", e.Msg)
		}
		if !sleep(ctx, limits.Jitter(pause)) {
			return fault.New(fault.Deadline, "deadline passed during repair: %s", e.Msg)
		}
		pause = min(2*pause, maxPause)
	}
}

// establish opens a chain under a new epoch, replacing stages that refuse, and
// lets it run from where each stage stands.
func (r *run) establish(ctx context.Context) error {
	if err := r.choose(); err != nil {
		return err
	}
	r.epoch++
	r.o.Events.Add(r.key(), events.EpochRaised, fmt.Sprintf("%d: %s", r.epoch, describe(r.chain)))
	next, err := r.openAll(ctx)
	if err != nil {
		return err
	}
	r.started = true
	if err := r.resumeAll(ctx, next); err != nil {
		return err
	}
	return r.feed(ctx, next[0])
}

// choose keeps the stages that still stand and finds others for the rest.
func (r *run) choose() error {
	if r.notRepeatable {
		return nil
	}
	if len(r.chain) == 0 {
		chain, err := r.o.Router.Chain(routing.Ask{
			Service:   r.ask.Service,
			Need:      model.LayerRange{To: r.layers},
			Avoid:     r.avoid,
			Positions: r.positions(),
		})
		if err != nil {
			return err
		}
		r.chain = hopsOf(chain)
		return nil
	}
	var next []wire.Hop
	for _, h := range r.chain {
		if r.stands(h) {
			next = append(next, h)
			continue
		}
		part, err := r.o.Router.Chain(routing.Ask{Service: r.ask.Service, Need: h.Range, Avoid: r.without(r.chain)})
		if err != nil {
			return err
		}
		next = append(next, hopsOf(part)...)
	}
	r.chain = next
	return nil
}

// without is avoid with the members of the chain added: a member takes part
// once, as a session has one range.
func (r *run) without(chain []wire.Hop) map[string]bool {
	out := map[string]bool{}
	for a, bad := range r.avoid {
		out[a] = bad
	}
	for _, h := range chain {
		out[h.Address] = true
	}
	return out
}

func (r *run) stands(h wire.Hop) bool {
	m, ok := r.o.Table.Get(h.Address)
	return ok && !r.avoid[h.Address] && !m.Down() && m.Incarnation == h.Incarnation
}

// openAll opens every stage at once; it gives the next position of each.
func (r *run) openAll(ctx context.Context) ([]int64, error) {
	next := make([]int64, len(r.chain))
	errs := make([]error, len(r.chain))
	var g errgroup.Group
	for i, h := range r.chain {
		r.used[h.Address] = true
		g.Go(func() error {
			var rep wire.OpenReply
			errs[i] = r.o.callTwice(ctx, h.Address, wire.MethodOpen, r.openMessage(i), &rep)
			if errs[i] == nil {
				next[i] = rep.Next
				r.o.Table.SeenLoad(h.Address, membership.Load(rep.Load))
			}
			return nil
		})
	}
	_ = g.Wait()
	return next, r.refusals(ctx, errs)
}

func (r *run) openMessage(i int) wire.Open {
	return wire.Open{
		Key:       r.runKey(),
		Epoch:     r.epoch,
		Chain:     r.chain,
		Index:     i,
		Owner:     r.o.Address,
		OwnerData: r.o.Data,
		Prompt:    int64(len(r.prompt)),
		Tokens:    int64(r.ask.MaxTokens),
		Deadline:  r.req.Deadline,
		Remember:  r.remember,
		Priority:  r.rule.Priority,
	}
}

// refusals notes which stages did not open. Those that did stay open for the
// next epoch.
func (r *run) refusals(ctx context.Context, errs []error) error {
	var worst error
	for i, err := range errs {
		if err == nil {
			continue
		}
		h := r.chain[i]
		r.avoid[h.Address] = true
		worst = err
		e := fault.From(err)
		if e.Kind == fault.Unreachable {
			r.o.Table.Missed(h.Address)
		}
		r.o.refused(ctx, r.job, h, e)
	}
	if worst != nil && !r.started {
		r.chain = nil // nothing has run: any other chain will do
	}
	return worst
}

// resumeAll tells each stage what the one after it lacks.
func (r *run) resumeAll(ctx context.Context, next []int64) error {
	last := len(r.chain) - 1
	var g errgroup.Group
	for i, h := range r.chain {
		msg := wire.Resume{Key: r.runKey(), Epoch: r.epoch}
		if i < last {
			msg.NextInput = next[i+1]
		} else {
			msg.NextToken = r.req.Len()
			msg.FirstNext = next[0]
		}
		g.Go(func() error {
			err := r.o.callTwice(ctx, h.Address, wire.MethodResume, msg, nil)
			if fault.Is(err, fault.Unreachable) {
				r.o.Table.Missed(h.Address)
			}
			return err
		})
	}
	return g.Wait()
}

// feed gives the first stage what it lacks of the prompt and of the tokens that
// came: it may be a replacement that has seen none of them.
func (r *run) feed(ctx context.Context, from int64) error {
	inputs := append(append([][]byte(nil), r.prompt...), r.req.Answer()...)
	if from > 0 && from < int64(len(inputs)) {
		r.o.Events.Add(r.key(), events.Replayed, fmt.Sprintf("positions %d to %d", from, len(inputs)))
	}
	for from < int64(len(inputs)) {
		to := min(from+feedBatch, int64(len(inputs)))
		err := r.o.Feeder.Forward(ctx, r.chain[0], wire.Forward{
			Key:      r.runKey(),
			Epoch:    r.epoch,
			Position: from,
			Data:     inputs[from:to],
		})
		if err != nil {
			return err
		}
		from = to
	}
	return nil
}

// closeAll ends the request at every stage it was opened at.
func (r *run) closeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), r.o.Timing.Call)
	defer cancel()
	var g errgroup.Group
	for addr := range r.used {
		g.Go(func() error {
			var rep wire.CloseReply
			err := r.o.callTwice(ctx, addr, wire.MethodClose, wire.Close{Key: r.runKey(), Epoch: r.epoch}, &rep)
			if err == nil {
				r.o.Table.SeenLoad(addr, membership.Load(rep.Load))
			}
			return nil
		})
	}
	_ = g.Wait()
}

// Tokens takes in generated tokens. Tokens of another epoch still count, as the
// position tells where they belong and each position has one token.
func (o *Owner) Tokens(t wire.Tokens) {
	r, ok := o.runs.Get(t.Key.String())
	if !ok {
		return
	}
	if added, _ := r.req.Append(t.Position, t.Data); added == 0 {
		return
	}
	select {
	case r.arrived <- struct{}{}:
	default:
	}
}

// NoStage takes in that the first stage does not know a request that was fed.
func (o *Owner) NoStage(from string, n wire.NoStage) {
	o.StageFailed(wire.StageFailed{Key: n.Key, Epoch: n.Epoch, Address: from, Cause: "no stage is open there"})
}

// StageFailed takes in a stage's report; a flood of them is cut, as one is
// enough to look.
func (o *Owner) StageFailed(f wire.StageFailed) {
	r, ok := o.runs.Get(f.Key.String())
	if !ok {
		return
	}
	select {
	case r.failed <- f:
	default:
	}
}

func hopsOf(chain []routing.Stage) []wire.Hop {
	out := make([]wire.Hop, 0, len(chain))
	for _, s := range chain {
		out = append(out, hopOf(s.Member, s.Range))
	}
	return out
}

func describe(chain []wire.Hop) string {
	s := ""
	for i, h := range chain {
		if i > 0 {
			s += " > "
		}
		s += h.Address + h.Range.String()
	}
	return s
}
