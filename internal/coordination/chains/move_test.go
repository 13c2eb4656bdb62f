package chains

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Several engines of one chain are lost at one moment, side by side or apart: the stream
// leaves all of them in one move and keeps the parts between them.
func TestStreamLeavesSeveralLostParts(t *testing.T) {
	ranges := []model.LayerRange{{To: 20}, {From: 20, To: 40}, {From: 40, To: 60}, {From: 60, To: 80}}
	for _, lost := range [][]int{{1, 2}, {1, 3}, {1, 2, 3}, {2, 3}} {
		w := newWorld()
		var parts []Stage
		for i, r := range ranges {
			id := string(rune('a' + i))
			w.add(id, "a", "a100", r.From, r.To)
			w.add("spare-"+id, "a", "l40s", r.From, r.To)
			parts = append(parts, Stage{Server: w.catalog.Load().ByID(id), Layers: r})
		}
		leave := map[model.Incarnation]bool{}
		for _, i := range lost {
			leave[parts[i].Server.Incarnation()] = true
		}
		next := w.chooser.Replace(w.svc, parts, leave, 1000, 0)
		covers(t, next, model.LayerRange{To: 80})
		for i, p := range next {
			want := parts[i].Server.ID
			if leave[parts[i].Server.Incarnation()] {
				want = "spare-" + want
			}
			assert.Equal(t, p.Server.ID, want, "lost %v", lost)
		}
	}
}
