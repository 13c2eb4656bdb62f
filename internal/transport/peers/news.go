package peers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/boottime"
	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

const (
	// minCompressSize is the size in bytes from which values and lists of changes are
	// compressed. Entries of engines and routers are smaller, but differ little from each
	// other.
	minCompressSize = 4 << 10
	// maxValueSize limits a value in an update, in bytes. Larger values are fetched apart,
	// because sending them to a dozen routers at once would saturate the link of a small
	// instance. At 20 Mbit/s, a value of this size takes a fifth of a second for a dozen
	// routers.
	maxValueSize = 32 << 10
	// maxDecompressedSize limits a decompressed value, in bytes. Values in the store have
	// at most 1 MB.
	maxDecompressedSize = 8 << 20
)

// Updates carries updates from the routers that watch the store to the routers that poll
// them.
type Updates struct {
	Pool *link.Pool
	// WaitForUpdates returns the updates after a revision and waits for them up to a
	// timeout.
	WaitForUpdates func(ctx context.Context, after model.Revision, timeout time.Duration) (follow.Updates, error)

	mu    sync.Mutex
	cache encodedItems
	start startAnswer
}

// startAnswer is the answer to routers without contents. Hundreds that start together ask for
// it while the contents change, and each encoding takes much of a small router's processor
// time. They get later changes with their next polls.
type startAnswer struct {
	reply wire.RouterUpdates
	at    time.Duration // of boottime
}

// startAnswerAge is how long an answer to routers without contents is used again.
const startAnswerAge = 500 * time.Millisecond

// get returns the answer with its age as of now, or false if it is too old.
func (a startAnswer) get(now time.Duration) (wire.RouterUpdates, bool) {
	age := now - a.at
	if a.reply.Revision == 0 || age >= startAnswerAge {
		return wire.RouterUpdates{}, false
	}
	reply := a.reply
	reply.AgeMS += ceilMilliseconds(age)
	reply.ElapsedMS = 0
	return reply, true
}

// encodedItems caches the encoded items between two revisions. Many routers poll for the
// same revision at once.
type encodedItems struct {
	after, revision model.Revision
	full, compact   bool
	items           json.RawMessage
	packed          []byte // items compressed; nil if they are short or not compact
}

// Register registers the method that peers call.
func (n *Updates) Register(s *link.Server) {
	s.Register(wire.MethodRouterUpdates, link.Handle(n.handleRequest))
}

// Poll long-polls a router for updates after a revision. The router waits up to wait for
// them.
func (n *Updates) Poll(ctx context.Context, addr string, after model.Revision, wait time.Duration) (follow.Updates, error) {
	var reply wire.RouterUpdates
	req := wire.RouterUpdatesRequest{After: after, WaitMS: wait.Milliseconds(), Compact: true}
	if err := n.Pool.Call(ctx, addr, wire.MethodRouterUpdates, req, &reply); err != nil {
		n.Pool.Reset(addr)
		if fault.Is(err, fault.NotReady) {
			return follow.Updates{}, errors.WithStack(follow.ErrNotWatching)
		}
		return follow.Updates{}, err
	}
	if reply.Starting {
		return follow.Updates{Starting: true}, nil
	}
	raw, err := unpackItems(reply)
	if err != nil {
		return follow.Updates{}, err
	}
	items, err := decodeItems(raw, after, reply.Full)
	if err != nil {
		return follow.Updates{}, err
	}
	return follow.Updates{
		Changes: replica.Changes{Items: items, Revision: reply.Revision, Full: reply.Full},
		Age:     milliseconds(reply.AgeMS),
		Elapsed: milliseconds(reply.ElapsedMS),
		Grace:   milliseconds(reply.GraceMS),
		Failing: reply.Failing,
	}, nil
}

// handleRequest answers a peer's Poll.
func (n *Updates) handleRequest(ctx context.Context, from string, req wire.RouterUpdatesRequest) (wire.RouterUpdates, error) {
	updates, err := n.WaitForUpdates(ctx, req.After, milliseconds(req.WaitMS))
	if err != nil {
		return wire.RouterUpdates{}, errors.WithStack(fault.New(fault.NotReady, "%v", err))
	}
	if updates.Starting {
		return wire.RouterUpdates{Starting: true}, nil
	}
	if updates.Full {
		klog.InfoS("full contents of the store sent to a peer", "peer", from, "after", req.After, "revision", updates.Revision, "items", len(updates.Items))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply, ok := n.start.get(boottime.Now()); ok && req.After == 0 && req.Compact {
		return reply, nil
	}
	encoded, err := n.encode(req.After, updates.Changes, req.Compact)
	reply := wire.RouterUpdates{
		Revision:  updates.Revision,
		Full:      updates.Full,
		AgeMS:     ceilMilliseconds(updates.Age),
		ElapsedMS: updates.Elapsed.Milliseconds(),
		GraceMS:   updates.Grace.Milliseconds(),
		Failing:   updates.Failing,
		Packed:    encoded.packed,
	}
	if reply.Packed == nil {
		reply.Items = encoded.items
	}
	if err == nil && req.After == 0 && req.Compact && updates.Full {
		n.start = startAnswer{reply: reply, at: boottime.Now()}
	}
	return reply, err
}

// encode encodes the changes after a revision. compact reports whether the receiver
// understands compressed lists and Unchanged items. The caller holds n.mu.
func (n *Updates) encode(after model.Revision, a replica.Changes, compact bool) (encodedItems, error) {
	if n.cache.items != nil && n.cache.after == after && n.cache.revision == a.Revision && n.cache.full == a.Full && n.cache.compact == compact {
		return n.cache, nil
	}
	encoded := encodedItems{after: after, revision: a.Revision, full: a.Full, compact: compact}
	if compact {
		a = a.WithoutKnown(after)
	}
	items := make([]wire.RouterUpdate, 0, len(a.Items))
	for _, it := range a.Items {
		w, err := encodeItem(it)
		if err != nil {
			return encodedItems{}, err
		}
		items = append(items, w)
	}
	var err error
	if encoded.items, err = json.Marshal(items); err != nil {
		return encodedItems{}, errors.Wrap(err, "encode updates")
	}
	if compact && len(encoded.items) >= minCompressSize {
		if encoded.packed, err = compress(encoded.items); err != nil {
			return encodedItems{}, err
		}
	}
	n.cache = encoded
	return encoded, nil
}

// unpackItems returns the list of items of an answer.
func unpackItems(reply wire.RouterUpdates) (json.RawMessage, error) {
	if len(reply.Packed) == 0 {
		return reply.Items, nil
	}
	return decompressAll(reply.Packed)
}

// decodeItems decodes a list of items. It returns an error if an item has no key or is not
// after the requested revision, because no correct router sends such items.
func decodeItems(raw json.RawMessage, after model.Revision, full bool) ([]replica.Item, error) {
	var items []wire.RouterUpdate
	if err := json.Unmarshal(raw, &items); err != nil {
		return nil, errors.Wrap(err, "decode updates")
	}
	out := make([]replica.Item, 0, len(items))
	for _, it := range items {
		if it.Key == "" || it.Revision <= 0 || !full && it.Revision <= after {
			return nil, errors.Errorf("update of key %.40q has revision %d, want one after %d", it.Key, it.Revision, after)
		}
		value, err := decompress(it)
		if err != nil {
			return nil, errors.WithMessagef(err, "update of key %.40q", it.Key)
		}
		out = append(out, replica.Item{
			Item:      platform.Item{Key: it.Key, Value: value, Revision: it.Revision, Lease: platform.LeaseID(it.Lease), Removed: it.Removed},
			Omitted:   it.Omitted,
			Unchanged: it.Unchanged,
		})
	}
	return out, nil
}

// encodeItem converts an item to its wire format. Large values are compressed. A value
// that is still too large is omitted.
func encodeItem(it replica.Item) (wire.RouterUpdate, error) {
	w := wire.RouterUpdate{Key: it.Key, Value: it.Value, Revision: it.Revision, Lease: int64(it.Lease), Removed: it.Removed, Omitted: it.Omitted, Unchanged: it.Unchanged}
	if len(it.Value) < minCompressSize {
		return w, nil
	}
	compressed, err := compress(it.Value)
	if err != nil {
		return w, err
	}
	w.Value, w.Packed = compressed, true
	if len(compressed) > maxValueSize {
		w.Value, w.Packed, w.Omitted = nil, false, true
	}
	return w, nil
}

func decompress(it wire.RouterUpdate) ([]byte, error) {
	if !it.Packed {
		return it.Value, nil
	}
	return decompressAll(it.Value)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// ceilMilliseconds rounds up to whole milliseconds, so that updates never appear newer
// than they are.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
