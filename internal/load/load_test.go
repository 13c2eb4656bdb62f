package load

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bursts that raise the mean rate.
func TestBurstsKeepMeanRate(t *testing.T) {
	r := &run{cfg: Config{Rate: 100, Burst: 3, Period: time.Second}}
	sum := 0.0
	const steps = 1000
	for i := 0; i < steps; i++ {
		sum += r.rateAt(time.Duration(i) * time.Millisecond)
	}
	mean := sum / steps
	assert.Assert(t, mean > 95 && mean < 105, "mean rate %g", mean)
}

func TestReportIsSelfContainedPage(t *testing.T) {
	var b bytes.Buffer
	r := Report{Ran: 3, NotRun: 1, Kinds: map[string]int{"<overloaded>": 1}, Seconds: []Second{{Ran: 3}, {NotRun: 1}}}
	assert.NilError(t, r.HTML(&b))
	assert.Assert(t, strings.Contains(b.String(), "<svg"))
	assert.Assert(t, !strings.Contains(b.String(), "<overloaded>"), "text is not escaped")
	assert.Assert(t, !strings.Contains(b.String(), "src="), "page loads other files")
}
