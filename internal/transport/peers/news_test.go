package peers

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// newUpdatesPair returns a client and the address of a router that answers each poll with
// the same updates.
func newUpdatesPair(t *testing.T, updates follow.Updates, err error) (client *Updates, addr string) {
	l, lerr := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, lerr)
	ctx, stop := context.WithCancel(context.Background())
	srv := link.NewServer(metadataOf(l.Addr().String()))
	n := &Updates{WaitForUpdates: func(context.Context, model.Revision, time.Duration) (follow.Updates, error) { return updates, err }}
	n.Register(srv)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	client = &Updates{Pool: link.NewPool(metadataOf("self:1"))}
	t.Cleanup(func() {
		stop()
		client.Pool.Close()
		assert.NilError(t, <-done)
	})
	return client, l.Addr().String()
}

// Values, removals and ages arrive as sent. A value that stays too large after compression
// is omitted.
func TestUpdatesArriveUnchanged(t *testing.T) {
	routes := bytes.Repeat([]byte(`{"name":"r-1","prefix":"/a/","timeout_ms":2500},`), 5000)
	noise := make([]byte, 2*maxValueSize)
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	sent := follow.Updates{
		Changes: replica.Changes{Revision: 9, Items: []replica.Item{
			{Item: platform.Item{Key: "servers/a", Value: []byte("entry"), Revision: 5, Lease: 7}},
			{Item: platform.Item{Key: "servers/b", Revision: 6, Removed: true}},
			{Item: platform.Item{Key: "op/config", Value: routes, Revision: 7}},
			{Item: platform.Item{Key: "other", Value: noise, Revision: 8}},
		}},
		Age: 1500*time.Millisecond + time.Microsecond, Elapsed: 30 * time.Millisecond, Grace: time.Second,
	}
	n, addr := newUpdatesPair(t, sent, nil)
	got, err := n.Poll(t.Context(), addr, 4, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, got.Items[3].Omitted && got.Items[3].Value == nil)
	assert.Equal(t, got.Age, 1501*time.Millisecond, "ages are rounded up")
	sent.Items[3].Omitted, sent.Items[3].Value = true, nil
	sent.Age = got.Age
	assert.DeepEqual(t, got, sent)
}

// After a start of hundreds of routers, a watcher sends the full contents to those that read the
// store before it did. What they have must not be sent again.
func TestFullContentsLeaveOutWhatTheReceiverHas(t *testing.T) {
	full := replica.Changes{Full: true, Revision: 1001}
	var receiver replica.Replica
	var has []platform.Item
	for i := range 1000 {
		it := platform.Item{Key: fmt.Sprint("servers/", i), Value: bytes.Repeat([]byte("x"), 400), Revision: model.Revision(i + 1)}
		has = append(has, it)
		if i > 0 {
			full.Items = append(full.Items, replica.Item{Item: it})
		}
	}
	changed := replica.Item{Item: platform.Item{Key: "servers/7", Value: []byte("draining"), Revision: 1001}}
	full.Items[6] = changed
	receiver.Reset(replica.ItemsWithValues(has), 1000)
	n := &Updates{}
	whole, err := n.encode(1000, full, false)
	assert.NilError(t, err)
	short, err := n.encode(1000, full, true)
	assert.NilError(t, err)
	assert.Assert(t, 10*len(short.items) < len(whole.items), "%d of %d bytes", len(short.items), len(whole.items))
	assert.Assert(t, whole.packed == nil, "sent to routers that do not understand it")
	items, err := decodeItems(short.items, 1000, true)
	assert.NilError(t, err)
	assert.DeepEqual(t, receiver.FillUnchanged(items), full.Items)
	items[0].Revision = 999 // another revision than the receiver has
	assert.Assert(t, receiver.FillUnchanged(items)[0].Omitted)
}

// All engines of a large fleet register within seconds, and a watcher passes each entry on to
// half of its domain. As plain text they take the whole link of a small instance.
func TestManyEntriesAreCompressedTogether(t *testing.T) {
	changes := replica.Changes{Revision: 1000}
	for i := range 500 {
		value := fmt.Sprintf(`{"service":"m%d","address":"10.%d.64.%d:8383","zone":"zone-%d","version":1,"slots":192,"state":"ready","cold_remaining_ms":0,"sequence":%d,`+
			`"models":[{"name":"m","version":1,"adapters":[]}],"layers":{"from":%d,"to":%d,"version":1},"type":"card"}`, i%3, i%5, i%250, i%5, i%7, i%70, i%70+10)
		changes.Items = append(changes.Items, replica.Item{Item: platform.Item{Key: fmt.Sprintf("servers/i-%08x", rand.Uint32()), Value: []byte(value), Revision: model.Revision(i + 1)}})
	}
	n, addr := newUpdatesPair(t, follow.Updates{Changes: changes}, nil)
	got, err := n.Poll(t.Context(), addr, 0, time.Second)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Changes, changes)
	encoded, err := n.encode(0, changes, true)
	assert.NilError(t, err)
	assert.Assert(t, 4*len(encoded.packed) < len(encoded.items), "%d of %d bytes", len(encoded.packed), len(encoded.items))
}

// A router that itself polls a peer must not be used as a source of updates.
func TestPollOfARouterThatDoesNotWatchFails(t *testing.T) {
	n, addr := newUpdatesPair(t, follow.Updates{}, follow.ErrNotWatching)
	_, err := n.Poll(t.Context(), addr, 4, time.Second)
	assert.ErrorContains(t, err, follow.ErrNotWatching.Error())
}

// Items with an old revision or without a key, truncated lists and values that decompress
// to too much memory are errors. Applying a part of them would hide what is missing.
func TestMalformedUpdatesAreRejectedAsAWhole(t *testing.T) {
	for _, raw := range []string{
		`[{"k":"a","r":4}]`, `[{"k":"a","r":-1}]`, `[{"r":5}]`, `[{"k":"a","r":5},{"k":"b","r":3}]`, `[{"k":"a","r":5,"z":true,"v":"AAAA"}]`, `[{"k":"a"`, `{}`, ``,
	} {
		_, err := decodeItems([]byte(raw), 4, false)
		assert.Assert(t, err != nil, raw)
	}
	oversized, err := encodeItem(replica.Item{Item: platform.Item{Key: "a", Value: make([]byte, maxDecompressedSize+1), Revision: 5}})
	assert.NilError(t, err)
	assert.Assert(t, oversized.Packed, "small on the wire")
	_, err = decompress(oversized)
	assert.ErrorContains(t, err, "too long")
}

// Many routers poll for the same revision at once.
func TestUpdatesAreEncodedOnce(t *testing.T) {
	n := &Updates{}
	changes := func(revision model.Revision) replica.Changes {
		return replica.Changes{Revision: revision, Items: []replica.Item{{Item: platform.Item{Key: fmt.Sprint("k", revision), Revision: revision}}}}
	}
	first, err := n.encode(4, changes(5), true)
	assert.NilError(t, err)
	again, err := n.encode(4, changes(5), true)
	assert.NilError(t, err)
	assert.Assert(t, &first.items[0] == &again.items[0])
	for _, other := range []struct{ after, revision model.Revision }{{3, 5}, {4, 6}} {
		encoded, err := n.encode(other.after, changes(other.revision), true)
		assert.NilError(t, err)
		assert.Assert(t, &encoded.items[0] != &first.items[0])
	}
}

// Arbitrary bytes decode to valid updates or an error.
func FuzzUpdates(f *testing.F) {
	f.Add([]byte(`[{"k":"servers/a","v":"e30=","r":5,"l":7},{"k":"b","r":6,"d":true}]`))
	f.Add([]byte(`[{"k":"op/config","z":true,"v":"AwA=","r":7}]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		items, err := decodeItems(raw, 4, false)
		if err != nil {
			return
		}
		for _, it := range items {
			assert.Assert(t, it.Key != "" && it.Revision > 4)
		}
	})
}
