package bench

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/owner"
	"github.com/skylarkwood/skylarkwood/internal/standin/world"
)

// stageFailure is a way to lose a stage during a request.
type stageFailure struct {
	name   string
	inject func(w *world.World, u, next *world.Sidecar)
}

func stageFailures() []stageFailure {
	return []stageFailure{
		{"kill", func(w *world.World, u, _ *world.Sidecar) { w.KillSidecar(u) }},
		{"freeze", func(w *world.World, u, _ *world.Sidecar) { w.Net.Suspend(u.Addr, time.Minute) }},
		{"cut", func(w *world.World, u, next *world.Sidecar) { w.Net.SetPartitioned(u.Addr, next.Addr, true) }},
	}
}

// recovery holds the results of one run.
type recovery struct {
	gaps       *hdrhistogram.Histogram // longest wait for a token after the failure, us
	firstToken time.Duration           // time to first token of a request of the same length
	rebuilt    int64                   // positions run by replacement engines
	reexecuted int64                   // positions run twice by surviving engines
}

const (
	runs          = 12
	requestTokens = 40 // tokens per request
	failAtToken   = 20
)

// measureRecovery sends requests one after the other, with two engines per layer
// range, and fails a random stage during each.
func measureRecovery(t *testing.T, b stageFailure, prompt int) recovery {
	out := recovery{gaps: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		cfg := world.Config{Seed: 1, Layers: layers, Entries: failureDomains[:2], Link: linkBetween}
		for i := 0; i < 9; i++ {
			cfg.Engines = append(cfg.Engines, world.EngineSpec{
				Domain:       failureDomains[i/3],
				Range:        model.LayerRange{From: i % 3 * 4, To: i%3*4 + 4},
				StepTime:     2500 * time.Microsecond,
				PositionTime: 50 * time.Microsecond,
				MaxBatch:     batch,
				Sessions:     sessions,
			})
		}
		w, err := world.New(ctx, cfg)
		assert.NilError(t, err)
		time.Sleep(settleTime)
		rnd := rand.New(rand.NewPCG(1, 1))
		for n := 0; n < runs; n++ {
			out.measureOne(t, w, b, prompt, rnd.IntN(3))
			time.Sleep(2 * time.Minute) // the failed stage recovers
			for _, u := range w.Sidecars {
				for _, v := range w.Sidecars {
					w.Net.SetPartitioned(u.Addr, v.Addr, false)
				}
			}
			time.Sleep(settleTime)
		}
		out.firstToken = timeToFirstToken(t, w, prompt+failAtToken)
		stop()
		w.Close()
		time.Sleep(2 * time.Minute)
	})
	return out
}

func newSubmission(prompt, tokens int) owner.Submission {
	body := bytes.Repeat([]byte("word "), prompt)
	return owner.Submission{
		Customer:  world.Customer,
		ID:        daemon.NewID(),
		Service:   world.Sheets,
		Body:      body[:len(body)-1],
		MaxTokens: tokens,
		Timeout:   2 * time.Minute,
	}
}

// measureOne sends a request, fails a stage after failAtToken tokens, and records the
// longest wait for a token after that.
func (r *recovery) measureOne(t *testing.T, w *world.World, b stageFailure, prompt, position int) {
	req, err := w.Entry(0).Owner.Submit(newSubmission(prompt, requestTokens))
	assert.NilError(t, err)
	var lastToken time.Time
	maxGap := time.Duration(0)
	for pos := int64(0); ; {
		parts, o, err := req.Next(context.Background(), pos)
		assert.NilError(t, err)
		if o.Final() {
			assert.Equal(t, o.State, model.Ran, o.Cause)
			break
		}
		pos += int64(len(parts))
		if !lastToken.IsZero() {
			maxGap = max(maxGap, time.Since(lastToken))
			lastToken = time.Now()
		}
		if lastToken.IsZero() && pos >= failAtToken {
			chain := chainOf(w, req.Key)
			assert.Equal(t, len(chain), 3)
			b.inject(w, chain[position], chain[(position+1)%3])
			lastToken = time.Now()
		}
	}
	_ = r.gaps.RecordValue(max(maxGap.Microseconds(), 1))
	r.count(w, req.Key, prompt)
}

// chainOf returns the sidecars that ran a request, in layer order.
func chainOf(w *world.World, key model.RequestKey) []*world.Sidecar {
	chain := make([]*world.Sidecar, 0, 3)
	for from := 0; from < layers; from += 4 {
		for _, u := range w.Sidecars {
			if u.Engine.Range().From == from && u.Engine.PositionsRun(key.String()+"#") > 0 {
				chain = append(chain, u)
			}
		}
	}
	return chain
}

// count adds the positions that the engines ran beyond one run of each layer.
func (r *recovery) count(w *world.World, key model.RequestKey, prompt int) {
	once := int64(prompt + requestTokens - 1)
	for from := 0; from < layers; from += 4 {
		total, maxPositions := int64(0), int64(0)
		for _, u := range w.Sidecars {
			if u.Engine.Range().From != from {
				continue
			}
			n := u.Engine.PositionsRun(key.String() + "#")
			total += n
			maxPositions = max(maxPositions, n)
		}
		r.rebuilt += total - once
		r.reexecuted += max(0, maxPositions-once)
	}
}

// timeToFirstToken returns the time to the first token of a new request with a prompt
// of the given length.
func timeToFirstToken(t *testing.T, w *world.World, prompt int) time.Duration {
	began := time.Now()
	req, err := w.Entry(0).Owner.Submit(newSubmission(prompt, 1))
	assert.NilError(t, err)
	_, _, err = req.Next(context.Background(), 0)
	assert.NilError(t, err)
	return time.Since(began)
}

// TestRecovery prints the time from the loss of a stage to the next token, for short
// and long contexts, beside the time to the first token of a new request of the same
// length. It checks that no surviving engine ran a position twice.
func TestRecovery(t *testing.T) {
	t.Run("runs", func(t *testing.T) {
		for _, b := range stageFailures() {
			for _, prompt := range []int{16, 1024} {
				t.Run(fmt.Sprintf("%s-%d", b.name, prompt), func(t *testing.T) {
					t.Parallel()
					r := measureRecovery(t, b, prompt)
					assert.Equal(t, r.reexecuted, int64(0), "surviving engines ran positions twice")
					t.Logf("%-6s context %4d: next token p50 %.0f p95 %.0f max %.0f ms; new request %.0f ms; replacements ran %d positions over %d failures",
						b.name, prompt, ms(r.gaps, 50), ms(r.gaps, 95), ms(r.gaps, 100), float64(r.firstToken.Microseconds())/1000, r.rebuilt, runs)
				})
			}
		}
	})
}
