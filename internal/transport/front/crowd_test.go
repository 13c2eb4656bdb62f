package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/intake"
	"github.com/skylarkwood/skylarkwood/internal/coordination/processor"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
	"github.com/skylarkwood/skylarkwood/internal/transport/selfprobe"
)

// tryOnce sends one request on a new connection and reports whether it was answered with success in
// time, and whether it was read. A connection that is closed without a response was not.
func tryOnce(addr string, timeout time.Duration) (served, read bool) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return false, false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, "POST /a HTTP/1.1\r\n"+finalHeader+"Content-Length: 5\r\n\r\nhello"); err != nil {
		return false, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false, isTimeout(err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK, true
}

// crowd opens new connections at an interval and counts what becomes of their requests. It does not
// slow down with the front, with which it shares the processor.
func crowd(addr string, d, interval time.Duration) (sent, read, served int64) {
	var all sync.WaitGroup
	var readCount, servedCount atomic.Int64
	started := time.Now()
	for n := int64(0); n < int64(d/interval); n++ {
		time.Sleep(time.Until(started.Add(time.Duration(n) * interval)))
		sent++
		all.Go(func() {
			ok, wasRead := tryOnce(addr, time.Second)
			if wasRead {
				readCount.Add(1)
			}
			if ok {
				servedCount.Add(1)
			}
		})
	}
	all.Wait()
	return sent, readCount.Load(), servedCount.Load()
}

// The balancer hands most new connections to this instance, which has processor time for a fifth
// of them. Guards against reading all and serving few in time.
func TestCrowdedFrontServesWhatItReads(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const work = 10 * time.Millisecond // of the processor, for each request
	started := time.Now()
	m := processor.New(func() time.Duration { return time.Since(started) })
	s, addr := serveLimited(t, intake.New[net.Conn](m, m.Now), func(context.Context, *relay.Request) (*relay.Response, error) {
		for end := time.Now().Add(work); time.Now().Before(end); {
			_ = fmt.Sprint(end)
		}
		return textResponse("done"), nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = selfprobe.Run(ctx, m, s.Advance) }()
	_, read, served := crowd(addr, time.Second, 4*work)
	assert.Assert(t, 10*served >= 9*read, "%d of %d served while it is calm", served, read)
	crowd(addr, 3*time.Second, work/5)
	sent, read, served := crowd(addr, 4*time.Second, work/5)
	t.Logf("%d sent, %d read, %d served", sent, read, served)
	assert.Assert(t, 4*served >= 3*read, "%d of %d that were read were served", served, read)
	assert.Assert(t, served >= 100, "only %d served", served)
}
