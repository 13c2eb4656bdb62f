package follow

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/transfer"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	"github.com/skylarkwood/skylarkwood/platform/standin"
)

// slowLink delays the reads of single keys of one router. The caller's timeout limits the
// time until the response begins. The response itself takes the time that its size takes
// on the link, which concurrent reads share.
type slowLink struct {
	start          time.Duration
	bytesPerSecond int
	turn           chan struct{} // holds one token; concurrent reads send in turns
}

func newSlowLink(start time.Duration, bytesPerSecond int) *slowLink {
	l := &slowLink{start: start, bytesPerSecond: bytesPerSecond, turn: make(chan struct{}, 1)}
	l.turn <- struct{}{}
	return l
}

func (l *slowLink) receive(ctx context.Context, size int) error {
	select {
	case <-time.After(l.start):
	case <-ctx.Done():
		return platform.ErrUnavailable
	}
	const piece = 16 << 10
	for ; size > 0; size -= piece {
		<-l.turn
		time.Sleep(time.Second * time.Duration(min(size, piece)) / time.Duration(l.bytesPerSecond))
		l.turn <- struct{}{}
	}
	return nil
}

// poller returns a router that does not watch the store itself.
func (f *fleet) poller() *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { fl, _ := n.running(); return !fl.Watching() })
	return f.nodes[i]
}

func largeValue(version int) string { return fmt.Sprint(version, string(make([]byte, 1<<20))) }

// waitFor returns the time until a router has a value, or timeout.
func (n *node) waitFor(key, value string, timeout time.Duration) time.Duration {
	start := time.Now()
	_, sink := n.running()
	for !sink.has(key, value) && time.Since(start) < timeout {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// The store answers later than the timeout of one read. Every read of a large value ended
// with the same timeout, so the value never arrived.
func TestLargeValueArrivesFromASlowStore(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		n := f.poller()
		n.set(func() { n.link = newSlowLink(700*time.Millisecond, 2<<20) })
		f.store.Put("op/config", []byte(largeValue(1)))
		took := n.waitFor("op/config", largeValue(1), 10*time.Second)
		assert.Assert(t, took < 3500*time.Millisecond, "%v", took)
	})
}

// Large versions follow one another faster than the link carries one. A transfer that began
// anew with each of them would never end.
func TestLargeVersionsInSeriesArriveOverASlowLink(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		n := f.poller()
		n.set(func() { n.link = newSlowLink(200*time.Millisecond, 512<<10) }) // some 2.2 s a version
		_, sink := n.running()
		for version := 1; version <= 12; version++ {
			f.store.Put("op/config", []byte(largeValue(version)))
			time.Sleep(time.Second)
			if version < 6 {
				continue
			}
			held := slices.IndexFunc([]int{0, 1, 2, 3, 4, 5}, func(behind int) bool { return sink.has("op/config", largeValue(version-behind)) })
			assert.Assert(t, held >= 0, "at version %d, five versions behind or more", version)
		}
		took := n.waitFor("op/config", largeValue(12), 10*time.Second)
		assert.Assert(t, took < 5*time.Second, "%v", took)
	})
}

// A large value is read for seconds. The router's polling waited for it, so other changes
// arrived seconds late.
func TestOtherChangesArriveWhileALargeValueIsRead(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		n := f.poller()
		n.set(func() { n.link = newSlowLink(0, 256<<10) }) // 4 s
		f.store.Put("op/config", []byte(largeValue(1)))
		time.Sleep(500 * time.Millisecond)
		for i := range 5 {
			f.store.Put("servers/x", fmt.Append(nil, i))
			took := n.waitFor("servers/x", fmt.Sprint(i), 10*time.Second)
			assert.Assert(t, took < 600*time.Millisecond, "%v", took)
		}
		took := n.waitFor("op/config", largeValue(1), 10*time.Second)
		assert.Assert(t, took < 4*time.Second, "%v", took)
	})
}

// A key whose large value is being read is removed. The value must not come back.
func TestRemovedLargeValueStaysRemoved(t *testing.T) {
	inFleet(t, 1, 5, func(t *testing.T, f *fleet) {
		n := f.poller()
		_, sink := n.running()
		n.set(func() { n.link = newSlowLink(0, 1<<20) })
		f.store.Put("other", []byte(largeValue(1)))
		time.Sleep(500 * time.Millisecond)
		f.store.Remove("other")
		time.Sleep(3 * time.Second)
		assert.Assert(t, sink.has("other", ""))
	})
}

// Every poll of a peer ended with the same timeout, so a router without the store never got large
// contents over a slow link.
func TestLargeAnswerOfAPeerArrives(t *testing.T) {
	const answerTime = 1900 * time.Millisecond
	setup := func(fl *Follower) {
		fl.Store = &node{Store: fl.Store, refused: true}
		fl.Picker = pickerWithPeers(fl, 5)
		fl.Replica = &replica.Replica{}
		fl.PollPeer = func(ctx context.Context, _ string, after model.Revision, _ time.Duration) (Updates, error) {
			select {
			case <-time.After(answerTime):
			case <-ctx.Done():
				return Updates{}, ctx.Err()
			}
			it := platform.Item{Key: "k", Value: []byte("1"), Revision: 7}
			return Updates{Changes: replica.Changes{Items: replica.ItemsWithValues([]platform.Item{it}), Revision: max(after, 7), Full: after < 7}}, nil
		}
	}
	runFollower(t, func(_ *standin.Store, sink *recordingSink, fl *Follower) {
		fl.ObservePeerRevision(7)
		time.Sleep(15 * time.Second)
		assert.Assert(t, sink.has("k", "1"))
	}, setup)
}

// A key whose value changed twice is removed before it was read, and the removal is not known yet.
// Reads of the missing key followed one another without a pause.
func TestMissingValueIsNotReadInALoop(t *testing.T) {
	store := standin.NewStore()
	now := time.Hour
	f := &Follower{Store: store, Clock: func() time.Duration { return now }}
	f.transfers = transfer.NewSchedule(f.Clock)
	f.transfers.Want("k", 5, "")
	f.transfers.Want("k", 8, "")
	a, due, _ := f.transfers.Next()
	assert.Assert(t, due)
	f.fetchValue(t.Context(), a)
	_, due, wait := f.transfers.Next()
	assert.Assert(t, !due && wait > 0)
	f.transfers.Drop("k", 9)
	assert.Equal(t, f.transfers.Len(), 0)
}
