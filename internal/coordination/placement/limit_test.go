package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// A first stage with a low rate limit counted with all its memory, so an engine that was added
// went to the other layers, which had less memory, and streams found no first stage.
func TestLimitedFirstStageCountsAsLittleCapacity(t *testing.T) {
	spec := &model.EngineSpec{
		Layers: 12, LayerMB: 1000, KVTokenBytes: 12e6, StepTime: 10 * time.Millisecond, StepsPerPass: 1, MeanPromptTokens: 100, MeanAnswerTokens: 100,
		Cards: []model.Card{{Name: "card", MB: 16000, StepTimeFactor: 2, PrefillFactor: 2}},
	}
	engine := func(address string) Engine { return Engine{Address: address, Domain: "a", Card: spec.Cards[0]} }
	plan := Plan{"first": {To: 4}, "second": {From: 4, To: 12}}
	for _, limited := range []bool{false, true} {
		engines := []Engine{engine("first"), engine("second"), engine("new")}
		if limited {
			rate := 0.5
			engines[0].RateLimit = &rate
		}
		next, changed := Extend(spec, plan, engines)
		assert.Assert(t, changed)
		assert.Equal(t, next["new"].From == 0, limited, "%s", next["new"])
	}
}
