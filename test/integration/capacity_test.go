package integration

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/load"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

var (
	sizesFlag  = flag.String("sizes", "3", "numbers of sidecars to measure, separated by spaces")
	windowFlag = flag.Duration("window", 2*time.Second, "duration of each measurement")
	rateFlag   = flag.Float64("rate", 20, "requests per second under load")
)

// usage is what one process has used since it started.
type usage struct {
	cpu   time.Duration
	rss   int64 // bytes
	links int64 // bytes transferred over links
}

func (u *instance) usage(t *testing.T) usage {
	t.Helper()
	pid := u.cmd.Process.Pid
	return usage{cpu: cpuOf(t, pid), rss: rssOf(t, pid), links: linkBytes(t, u)}
}

// cpuOf returns the user and system time of a process, which the kernel counts in
// hundredths of a second.
func cpuOf(t *testing.T, pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	const utime, stime, tick = 11, 12, 10 * time.Millisecond
	user, err := strconv.Atoi(fields[utime])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[stime])
	assert.NilError(t, err)
	return time.Duration(user+system) * tick
}

func rssOf(t *testing.T, pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	assert.NilError(t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(raw))[1], 10, 64)
	assert.NilError(t, err)
	return pages * int64(os.Getpagesize())
}

func linkBytes(t *testing.T, u *instance) int64 {
	rep, err := http.Get("http://" + u.http + "/metrics")
	assert.NilError(t, err)
	defer rep.Body.Close()
	lines := bufio.NewScanner(rep.Body)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), "} "); ok && strings.HasPrefix(name, "skylarkwood_link_bytes") {
			f, err := strconv.ParseFloat(value, 64)
			assert.NilError(t, err)
			return int64(f)
		}
	}
	return 0
}

// meanUsage is the mean usage per process over a period.
type meanUsage struct {
	cpuShare float64 // of one core
	rss      float64 // MB
	links    float64 // bytes per second
}

func (c *cluster) measureUsage(instances []*instance, do func()) meanUsage {
	before := make([]usage, len(instances))
	for i, u := range instances {
		before[i] = u.usage(c.t)
	}
	began := time.Now()
	do()
	elapsed := time.Since(began).Seconds()
	var s meanUsage
	n := float64(len(instances))
	for i, u := range instances {
		after := u.usage(c.t)
		s.cpuShare += (after.cpu - before[i].cpu).Seconds() / elapsed / n
		s.rss += float64(after.rss) / 1e6 / n
		s.links += float64(after.links-before[i].links) / elapsed / n
	}
	return s
}

// addSidecarsSharingEngines starts n sidecars that share three engines. One engine per
// sidecar would overload the machine, and only sidecars are measured.
func (c *cluster) addSidecarsSharingEngines(n int) {
	var engines []string
	for from := 0; from < layers; from += 4 {
		addr := freeAddress(c.t)
		start(c.t, "skylark-standin", "--listen", addr, "engine", "--layers", fmt.Sprint(layers), "--ignore-fence",
			"--from", fmt.Sprint(from), "--to", fmt.Sprint(from+4), "--step", "300us", "--capacity", "32")
		engines = append(engines, addr)
	}
	for i := 0; i < n; i++ {
		c.addSidecar(fmt.Sprintf("service = %q\nkind = \"pipeline\"\nlayers = %d\ncapacity = 32", sheets, layers), engines[i%len(engines)])
	}
}

// TestCapacity prints what entries and sidecars use at rest and under load, for
// docs/CAPACITY.md:
//
//	go test ./test/integration -run Capacity -v -args -sizes "4 16 64 128" -window 10s -rate 60
func TestCapacity(t *testing.T) {
	for _, field := range strings.Fields(*sizesFlag) {
		size, err := strconv.Atoi(field)
		assert.NilError(t, err)
		t.Run(field, func(t *testing.T) { measureSize(t, size) })
	}
}

func measureSize(t *testing.T, size int) {
	c := newCluster(t, 2, nil, 0)
	c.addSidecarsSharingEngines(size)
	c.publish()
	c.waitReady()
	var before, after standin.KVCalls
	c.getControl(c.kv, "", &before)
	began := time.Now()
	var sidecars meanUsage
	entries := c.measureUsage(c.entries, func() {
		sidecars = c.measureUsage(c.sidecars, func() { time.Sleep(*windowFlag) })
	})
	c.getControl(c.kv, "", &after)
	calls := float64(after.Gets+after.Swaps+after.Watches-before.Gets-before.Swaps-before.Watches) / time.Since(began).Seconds()
	t.Logf("rest, 2 entries, %d sidecars: entry %.4f core %.1f MB %.0f B/s; sidecar %.4f core %.1f MB %.0f B/s; store %.2f calls/s",
		size, entries.cpuShare, entries.rss, entries.links, sidecars.cpuShare, sidecars.rss, sidecars.links, calls)

	var r load.Report
	entries = c.measureUsage(c.entries, func() {
		sidecars = c.measureUsage(c.sidecars, func() { r = c.runLoad() })
	})
	assert.Equal(t, r.Ran+r.NotRun+r.CutOff+r.NotAccepted+r.Lost, r.Sent)
	perSecond := float64(r.Ran) / windowFlag.Seconds()
	t.Logf("load, %d sidecars: %.1f requests/s of %d tokens (ran %d of %d); entry %.3f core %.1f MB %.0f B/s: %.0f us a request; all sidecars %.3f core: %.0f us a request; sidecar %.1f MB",
		size, perSecond, loadTokens, r.Ran, r.Sent, entries.cpuShare, entries.rss, entries.links,
		entries.cpuShare*float64(len(c.entries))/perSecond*1e6,
		sidecars.cpuShare*float64(len(c.sidecars)), sidecars.cpuShare*float64(len(c.sidecars))/perSecond*1e6, sidecars.rss)
}

const loadTokens = 24

func (c *cluster) runLoad() load.Report {
	cfg := load.Config{
		Rate:     *rateFlag,
		Duration: *windowFlag,
		Seed:     1,
		Mix:      []load.RequestKind{{Customer: customer, Service: sheets, Weight: 1, Tokens: loadTokens, Body: prompt}},
	}
	for _, e := range c.entries {
		cfg.Entries = append(cfg.Entries, "http://"+e.http)
	}
	return load.Run(context.Background(), cfg)
}
