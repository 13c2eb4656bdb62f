package config

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

// noDeadline hides the test's deadline, which is not available in a synctest bubble.
type noDeadline struct{ rapid.TB }

type idGenerator struct {
	mu sync.Mutex
	n  int
}

func (g *idGenerator) next() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
	return fmt.Sprint("id-", g.n)
}

// Operators change the same templates while the store is slow, unavailable and loses answers. No
// accepted change may be lost, accepted twice or taken back.
func TestConcurrentChangesAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			kv := standin.NewKV()
			ids := &idGenerator{}
			stores := []*Store{}
			for i := 0; i < 3; i++ {
				last := int64(0)
				stores = append(stores, NewStore(kv, time.Now, ids.next, func(r int64) {
					assert.Check(rt, r > last, "revision went from %d to %d", last, r)
					last = r
				}))
			}
			customers := []string{"luka", "solin"}
			var mu sync.Mutex
			var wg sync.WaitGroup
			accepted := map[string]map[int64]string{"luka": {}, "solin": {}}
			for n := rapid.IntRange(1, 25).Draw(rt, "changes"); n > 0; n-- {
				kv.SetFaults(standin.KVFaults{
					Outage:      rapid.IntRange(0, 9).Draw(rt, "outage") == 0,
					Delay:       time.Duration(rapid.IntRange(0, 60).Draw(rt, "delay")) * time.Millisecond,
					LoseAnswers: rapid.IntRange(0, 2).Draw(rt, "lost"),
				})
				s := rapid.SampledFrom(stores).Draw(rt, "entry")
				customer := rapid.SampledFrom(customers).Draw(rt, "customer")
				author := fmt.Sprint("operator-", n)
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					_ = s.Refresh(ctx)
					rec, _ := s.Current().Record(customer)
					c, err := s.Set(ctx, Template{Customer: customer}, rec.Current.Revision, author)
					if err != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					other, taken := accepted[customer][c.Revision]
					assert.Check(rt, !taken, "revision %d accepted for %s and %s", c.Revision, other, author)
					accepted[customer][c.Revision] = author
				})
				time.Sleep(time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * time.Millisecond)
			}
			wg.Wait()
			kv.SetFaults(standin.KVFaults{})
			assert.NilError(rt, stores[0].Refresh(context.Background()))
			for customer, revisions := range accepted {
				rec, _ := stores[0].Current().Record(customer)
				for rev, author := range revisions {
					assert.Assert(rt, rec.Current.Revision >= rev, "%s: change %d by %s is lost", customer, rev, author)
					if rec.Current.Revision == rev {
						assert.Equal(rt, rec.Current.Author, author)
					}
				}
			}
		})
	})
}

// Heads arrive late and out of order. Only a newer one may be applied.
func TestApplyIgnoresOlderRevisions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewStore(standin.NewKV(), time.Now, (&idGenerator{}).next, func(int64) {})
		high := int64(0)
		for n := rapid.IntRange(1, 20).Draw(rt, "heads"); n > 0; n-- {
			rev := int64(rapid.IntRange(0, 10).Draw(rt, "revision"))
			key := fmt.Sprint("bucket-", rev)
			applied, err := s.Apply(Head{Revision: rev, Keys: map[int]string{0: key}}, map[int]Bucket{0: {}})
			assert.NilError(rt, err)
			assert.Equal(rt, applied, rev > high)
			high = max(high, rev)
			assert.Equal(rt, s.Revision(), high)
		}
	})
}

// A head with an unknown bucket must not be applied in part.
func TestApplyRejectsMissingBucket(t *testing.T) {
	s := NewStore(standin.NewKV(), time.Now, (&idGenerator{}).next, func(int64) {})
	_, err := s.Apply(Head{Revision: 1, Keys: map[int]string{3: "unknown"}}, nil)
	assert.ErrorContains(t, err, "missing")
	assert.Equal(t, s.Revision(), int64(0))
}

// lossyHeadKV loses the answer to the next successful swap of the head.
type lossyHeadKV struct {
	platform.KV
	lose bool
	then func()
}

func (k *lossyHeadKV) CompareAndSwap(ctx context.Context, key string, data []byte, expected int64) (int64, error) {
	version, err := k.KV.CompareAndSwap(ctx, key, data, expected)
	if key == headKey && k.lose && err == nil {
		k.lose = false
		k.then()
		return 0, platform.ErrUnknown
	}
	return version, err
}

// The answer to a swap of the head is lost and another operator changes the template. The first
// change must count as accepted and must not be written again.
func TestSetRecognizesItsOwnUnconfirmedChange(t *testing.T) {
	kv := &lossyHeadKV{KV: standin.NewKV(), lose: true}
	ids := &idGenerator{}
	a := NewStore(kv, time.Now, ids.next, func(int64) {})
	b := NewStore(kv, time.Now, ids.next, func(int64) {})
	kv.then = func() {
		_, err := b.Set(context.Background(), Template{Customer: "luka"}, 1, "second")
		assert.NilError(t, err)
	}
	c, err := a.Set(context.Background(), Template{Customer: "luka"}, 0, "first")
	assert.NilError(t, err)
	assert.Equal(t, c.Revision, int64(1))
	rec, _ := a.Current().Record("luka")
	assert.Equal(t, rec.Current.Author, "second")
	_, err = a.Set(context.Background(), Template{Customer: "luka"}, 1, "third")
	assert.Assert(t, fault.Is(err, fault.RevisionConflict))
}

// BenchmarkTemplate measures the memory and the stored bytes of one template, with
// 17,000 customers.
func BenchmarkTemplate(b *testing.B) {
	const customers = 17_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		buckets := map[int]Bucket{}
		for i := 0; i < customers; i++ {
			name := fmt.Sprintf("customer-%d", i)
			k := bucketOf(name)
			if buckets[k] == nil {
				buckets[k] = Bucket{}
			}
			buckets[k] = buckets[k].with(Change{
				Template: Template{Customer: name, Rules: []Rule{{Service: "planer-rundi", Rate: 20}, {Service: "dispecer", NotRepeatable: true}}},
				Revision: 1,
				Author:   "operator",
				WriteID:  name,
			})
		}
		raw, largest := 0, 0
		for k, bucket := range buckets {
			data, err := json.Marshal(bucket)
			assert.NilError(b, err)
			raw += len(data)
			largest = max(largest, len(data))
			var decoded Bucket
			assert.NilError(b, json.Unmarshal(data, &decoded))
			buckets[k] = decoded
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/customers, "heap-B/template")
		b.ReportMetric(float64(raw)/customers, "store-B/template")
		b.ReportMetric(float64(largest), "largest-bucket-B")
		runtime.KeepAlive(buckets)
	}
}
