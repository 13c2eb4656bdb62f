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

// telling is a router that answers each question with the same news.
func telling(t *testing.T, news follow.Updates, err error) (asker *Updates, addr string) {
	l, lerr := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, lerr)
	serving, stop := context.WithCancel(context.Background())
	srv := link.NewServer(stampOf(l.Addr().String()))
	n := &Updates{WaitForUpdates: func(context.Context, model.Revision, time.Duration) (follow.Updates, error) { return news, err }}
	n.Register(srv)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(serving, l) }()
	asker = &Updates{Pool: link.NewPool(stampOf("self:1"))}
	t.Cleanup(func() {
		stop()
		asker.Pool.Close()
		assert.NilError(t, <-ended)
	})
	return asker, l.Addr().String()
}

// What a watcher knows arrives as it is, small and large values, removals and ages; what
// does not compress well is left to be read from the store.
func TestNewsArriveAsTold(t *testing.T) {
	routes := bytes.Repeat([]byte(`{"name":"r-1","prefix":"/a/","timeout_ms":2500},`), 5000)
	noise := make([]byte, 2*mostValue)
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	told := follow.Updates{
		Changes: replica.Changes{Revision: 9, Items: []replica.Item{
			{Item: platform.Item{Key: "servers/a", Value: []byte("entry"), Revision: 5, Lease: 7}},
			{Item: platform.Item{Key: "servers/b", Revision: 6, Removed: true}},
			{Item: platform.Item{Key: "op/config", Value: routes, Revision: 7}},
			{Item: platform.Item{Key: "other", Value: noise, Revision: 8}},
		}},
		Age: 1500*time.Millisecond + time.Microsecond, Elapsed: 30 * time.Millisecond, Grace: time.Second,
	}
	n, addr := telling(t, told, nil)
	got, err := n.Poll(t.Context(), addr, 4, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, got.Items[3].Omitted && got.Items[3].Value == nil)
	assert.Equal(t, got.Age, 1501*time.Millisecond, "never younger than it is")
	told.Items[3].Omitted, told.Items[3].Value = true, nil
	told.Age = got.Age
	assert.DeepEqual(t, got, told)
}

// A router that hears from the store through others says so, and is not believed.
func TestOnlyWatchersAnswer(t *testing.T) {
	n, addr := telling(t, follow.Updates{}, follow.ErrNotWatching)
	_, err := n.Poll(t.Context(), addr, 4, time.Second)
	assert.ErrorContains(t, err, follow.ErrNotWatching.Error())
}

// News that are none (older than asked for, without a key, cut short, or that would fill
// the memory) are dropped as a whole: taken in part they would hide what is missing.
func TestNewsThatAreNone(t *testing.T) {
	for _, raw := range []string{
		`[{"k":"a","r":4}]`, `[{"k":"a","r":-1}]`, `[{"r":5}]`, `[{"k":"a","r":5},{"k":"b","r":3}]`, `[{"k":"a","r":5,"z":true,"v":"AAAA"}]`, `[{"k":"a"`, `{}`, ``,
	} {
		_, err := decodeItems([]byte(raw), 4, false)
		assert.Assert(t, err != nil, raw)
	}
	bomb, err := encodeItem(replica.Item{Item: platform.Item{Key: "a", Value: make([]byte, mostUnpacked+1), Revision: 5}})
	assert.NilError(t, err)
	assert.Assert(t, bomb.Packed, "some kilobytes on the wire")
	_, err = unpack(bomb)
	assert.ErrorContains(t, err, "too long")
}

// A dozen routers ask for the same changes at one moment; the list is encoded once.
func TestNewsAreEncodedOnce(t *testing.T) {
	n := &Updates{}
	answer := func(revision model.Revision) replica.Changes {
		return replica.Changes{Revision: revision, Items: []replica.Item{{Item: platform.Item{Key: fmt.Sprint("k", revision), Revision: revision}}}}
	}
	first, err := n.encode(4, answer(5))
	assert.NilError(t, err)
	again, err := n.encode(4, answer(5))
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &again[0])
	for _, other := range []struct{ after, revision model.Revision }{{3, 5}, {4, 6}} {
		raw, err := n.encode(other.after, answer(other.revision))
		assert.NilError(t, err)
		assert.Assert(t, &raw[0] != &first[0])
	}
}

// Whatever bytes a peer sends, they are news or an error.
func FuzzNews(f *testing.F) {
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
