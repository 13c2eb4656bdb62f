package chains

import (
	"slices"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/ratelimit"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// WithheldWait returns the time until rate limits and pauses allow this router to use engines
// for each layer, or ratelimit.Never. paused is the part of it that is due to pauses. Every
// other obstacle is ignored.
func (c *Chooser) WithheldWait(svc *model.Service, req Requirements) (wait, paused time.Duration) {
	if svc.Engine.Layers <= 0 {
		return ratelimit.Never, 0
	}
	waits := slices.Repeat([]time.Duration{ratelimit.Never}, svc.Engine.Layers)
	pauses := slices.Clone(waits)
	for _, b := range c.Catalog.Load().Service(svc.Name) {
		inc := b.Incarnation()
		if req.Avoid[inc] {
			continue
		}
		pause := c.Pauses.Wait(inc)
		for l := max(b.Holds.From, 0); l < min(b.Holds.To, svc.Engine.Layers); l++ {
			ready := pause
			if l == 0 {
				if req.FirstStageIn != nil && !req.FirstStageIn[inc] {
					continue
				}
				ready = max(pause, c.Limits.Wait(inc))
			}
			waits[l] = min(waits[l], ready)
			pauses[l] = min(pauses[l], pause)
		}
	}
	wait, paused = slices.Max(waits), slices.Max(pauses)
	if paused == ratelimit.Never { // some layer is held by no engine
		paused = 0
	}
	return wait, paused
}
