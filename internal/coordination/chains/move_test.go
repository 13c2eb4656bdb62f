package chains

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Replace must replace several lost stages in one move and keep the others.
func TestReplaceHandlesSeveralLostStages(t *testing.T) {
	ranges := []model.LayerRange{{To: 20}, {From: 20, To: 40}, {From: 40, To: 60}, {From: 60, To: 80}}
	for _, lost := range [][]int{{1, 2}, {1, 3}, {1, 2, 3}, {2, 3}} {
		f := newFixture()
		var stages []Stage
		for i, r := range ranges {
			id := string(rune('a' + i))
			f.add(id, "a", "a100", r.From, r.To)
			f.add("spare-"+id, "a", "l40s", r.From, r.To)
			stages = append(stages, Stage{Server: f.catalog.Load().ByID(id), Layers: r})
		}
		lostSet := map[model.Incarnation]bool{}
		for _, i := range lost {
			lostSet[stages[i].Server.Incarnation()] = true
		}
		next := f.chooser.Replace(f.svc, stages, lostSet, 1000, 0)
		covers(t, next, model.LayerRange{To: 80})
		for i, s := range next {
			want := stages[i].Server.ID
			if lostSet[stages[i].Server.Incarnation()] {
				want = "spare-" + want
			}
			assert.Equal(t, s.Server.ID, want, "lost %v", lost)
		}
	}
}
