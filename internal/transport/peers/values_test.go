package peers

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/coordination/transfer"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// valueHolder is a router that has one value.
type valueHolder struct {
	values *Values
	addr   string

	mu      sync.Mutex
	item    platform.Item
	lookups atomic.Int64
}

func (h *valueHolder) set(value []byte, revision model.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.item = platform.Item{Key: "k", Value: value, Revision: revision}
}

func (h *valueHolder) lookup(string) (platform.Item, bool) {
	h.lookups.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.item, h.item.Value != nil
}

func newValueHolder(t *testing.T, now func() time.Duration) *valueHolder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &valueHolder{addr: l.Addr().String()}
	h.values = &Values{Lookup: h.lookup, Uploads: transfer.NewUploads(now)}
	ctx, stop := context.WithCancel(context.Background())
	srv := link.NewServer(metadataOf(h.addr))
	h.values.Register(srv)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	t.Cleanup(func() { stop(); assert.NilError(t, <-done) })
	return h
}

func newFetcher(t *testing.T, self string) *Values {
	v := &Values{Pool: link.NewPool(metadataOf(self))}
	t.Cleanup(v.Pool.Close)
	return v
}

func noise(size int) []byte {
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(rand.Uint32())
	}
	return out
}

func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// A value of many parts arrives whole, compressible or not.
func TestLargeValueArrivesInParts(t *testing.T) {
	h := newValueHolder(t, wallClock)
	v := newFetcher(t, "self:1")
	for i, value := range [][]byte{noise(1 << 20), bytes.Repeat([]byte(`{"prefix":"/a/"},`), 60000), noise(partSize), {}} {
		h.set(value, model.Revision(i+1))
		it, err := v.Fetch(t.Context(), h.addr, "k", 5*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(it.Value, value))
		assert.Equal(t, it.Revision, model.Revision(i+1))
	}
}

// The value of a peer changes during a transfer. Without the one that the transfer began
// with, versions in series would keep each other from arriving.
func TestTransferOutlivesANewerVersion(t *testing.T) {
	h := newValueHolder(t, wallClock)
	v := newFetcher(t, "self:1")
	old := noise(200 << 10)
	h.set(old, 1)
	part, err := v.fetchPart(t.Context(), h.addr, "k", partialValue{key: "k"}, 5*time.Second)
	assert.NilError(t, err)
	v.keep(partialValue{key: "k", checksum: part.Checksum, compressed: part.Part})
	h.set(noise(200<<10), 2)
	it, err := v.Fetch(t.Context(), h.addr, "k", 5*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(it.Value, old))
	assert.Equal(t, it.Revision, model.Revision(1))
}

// A peer exits in the middle of a transfer. The rest comes from another one, and from the
// beginning if that one has another value.
func TestTransferIsResumedAtAnotherPeer(t *testing.T) {
	value := noise(300 << 10)
	for _, same := range []bool{true, false} {
		second := newValueHolder(t, wallClock)
		v := newFetcher(t, "self:1")
		compressed, err := compress(value)
		assert.NilError(t, err)
		v.keep(partialValue{key: "k", checksum: xxhash.Sum64(value), compressed: compressed[:3*partSize]})
		want := value
		if !same {
			want = noise(100 << 10)
		}
		second.set(want, 7)
		it, err := v.Fetch(t.Context(), second.addr, "k", 5*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(it.Value, want))
	}
}

// A dozen peers at once would share the link of a small router until all of them time out.
func TestPeerSendsToFewAtOnce(t *testing.T) {
	h := newValueHolder(t, func() time.Duration { return time.Hour })
	h.set(noise(200<<10), 1)
	for i := range 3 {
		_, err := newFetcher(t, fmt.Sprint("self:", i)).fetchPart(t.Context(), h.addr, "k", partialValue{}, 5*time.Second)
		assert.NilError(t, err)
	}
	_, err := newFetcher(t, "self:9").Fetch(t.Context(), h.addr, "k", 5*time.Second)
	assert.ErrorIs(t, err, follow.ErrValueRefused)
	h.set(nil, 0)
	_, err = newFetcher(t, "self:8").Fetch(t.Context(), h.addr, "other", 5*time.Second)
	assert.ErrorIs(t, err, follow.ErrValueRefused)
}

// A value that this router already has by another way is not transferred again.
func TestKnownValueIsNotTransferred(t *testing.T) {
	h := newValueHolder(t, wallClock)
	value := noise(200 << 10)
	h.set(value, 4)
	v := newFetcher(t, "self:1")
	v.Known = func(checksum uint64) []byte {
		if checksum == xxhash.Sum64(value) {
			return value
		}
		return nil
	}
	it, err := v.Fetch(t.Context(), h.addr, "k", 5*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(it.Value, value))
	assert.Equal(t, it.Revision, model.Revision(4))
	assert.Equal(t, h.lookups.Load(), int64(1))
}
