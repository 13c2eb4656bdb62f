package peers

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/follow"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/state/replica"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

const (
	// packFrom is the size of a value, in bytes, from which it is compressed: entries
	// of engines and routers have some hundred bytes.
	packFrom = 4 << 10
	// mostValue bounds a value as it is sent, in bytes: to a dozen routers through the
	// link of a small instance, 20 Mbit/s, it takes a fifth of a second. What is larger
	// each of them reads from the store.
	mostValue = 32 << 10
	// mostUnpacked bounds it once read; the store's values are at most 1 MB.
	mostUnpacked = 8 << 20
)

// Updates carries what watchers of the store tell the routers that ask them.
type Updates struct {
	Pool *link.Pool
	// WaitForUpdates answers a question from this router's picture.
	WaitForUpdates func(ctx context.Context, after model.Revision, most time.Duration) (follow.Updates, error)

	mu   sync.Mutex
	last encoded
}

// encoded is the list of items between two revisions. A dozen routers ask for the same
// at one moment, and a small instance takes longer to encode it than to send it.
type encoded struct {
	after, revision model.Revision
	whole           bool
	items           json.RawMessage
}

// Register adds the method that peers call.
func (n *Updates) Register(s *link.Server) {
	s.Register(wire.MethodRouterUpdates, link.Handle(n.answer))
}

// Poll asks a router for news.
func (n *Updates) Poll(ctx context.Context, addr string, after model.Revision, wait time.Duration) (follow.Updates, error) {
	var rep wire.RouterUpdates
	ask := wire.RouterUpdatesRequest{After: after, WaitMS: wait.Milliseconds()}
	if err := n.Pool.Call(ctx, addr, wire.MethodRouterUpdates, ask, &rep); err != nil {
		n.Pool.Reset(addr)
		return follow.Updates{}, err
	}
	items, err := decodeItems(rep.Items, after, rep.Full)
	if err != nil {
		return follow.Updates{}, err
	}
	return follow.Updates{
		Changes: replica.Changes{Items: items, Revision: rep.Revision, Full: rep.Full},
		Age:     milliseconds(rep.AgeMS),
		Elapsed: milliseconds(rep.ElapsedMS),
		Grace:   milliseconds(rep.GraceMS),
	}, nil
}

// answer answers a peer's Ask.
func (n *Updates) answer(ctx context.Context, from string, ask wire.RouterUpdatesRequest) (wire.RouterUpdates, error) {
	news, err := n.WaitForUpdates(ctx, ask.After, milliseconds(ask.WaitMS))
	if err != nil {
		return wire.RouterUpdates{}, errors.WithStack(fault.New(fault.NotReady, "%v", err))
	}
	if news.Full {
		klog.InfoS("the whole picture of the store is given to a peer", "peer", from, "after", ask.After, "revision", news.Revision, "items", len(news.Items))
	}
	items, err := n.encode(ask.After, news.Changes)
	return wire.RouterUpdates{
		Revision:  news.Revision,
		Full:      news.Full,
		AgeMS:     roundUp(news.Age),
		ElapsedMS: news.Elapsed.Milliseconds(),
		GraceMS:   news.Grace.Milliseconds(),
		Items:     items,
	}, err
}

func (n *Updates) encode(after model.Revision, a replica.Changes) (json.RawMessage, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.last.items != nil && n.last.after == after && n.last.revision == a.Revision && n.last.whole == a.Full {
		return n.last.items, nil
	}
	items := make([]wire.RouterUpdate, 0, len(a.Items))
	for _, it := range a.Items {
		w, err := encodeItem(it)
		if err != nil {
			return nil, err
		}
		items = append(items, w)
	}
	raw, err := json.Marshal(items)
	if err != nil {
		return nil, errors.Wrap(err, "encode news")
	}
	n.last = encoded{after: after, revision: a.Revision, whole: a.Full, items: raw}
	return raw, nil
}

// decodeItems reads a list of items. One that is no news, or names no key, was not told
// by a router of ours that works.
func decodeItems(raw json.RawMessage, after model.Revision, whole bool) ([]replica.Item, error) {
	var items []wire.RouterUpdate
	if err := json.Unmarshal(raw, &items); err != nil {
		return nil, errors.Wrap(err, "news cannot be read")
	}
	out := make([]replica.Item, 0, len(items))
	for _, it := range items {
		if it.Key == "" || it.Revision <= 0 || !whole && it.Revision <= after {
			return nil, errors.Errorf("news of key %.40q at revision %d, asked for after %d", it.Key, it.Revision, after)
		}
		value, err := unpack(it)
		if err != nil {
			return nil, errors.WithMessagef(err, "news of key %.40q", it.Key)
		}
		out = append(out, replica.Item{
			Item:    platform.Item{Key: it.Key, Value: value, Revision: it.Revision, Lease: platform.LeaseID(it.Lease), Removed: it.Removed},
			Omitted: it.Omitted,
		})
	}
	return out, nil
}

// encodeItem makes the wire's form of an item. A configuration of some hundred routes
// compresses to a tenth of its size; what is large all the same goes without its value.
func encodeItem(it replica.Item) (wire.RouterUpdate, error) {
	w := wire.RouterUpdate{Key: it.Key, Value: it.Value, Revision: it.Revision, Lease: int64(it.Lease), Removed: it.Removed, Omitted: it.Omitted}
	if len(it.Value) < packFrom {
		return w, nil
	}
	var packed bytes.Buffer
	z, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return w, errors.Wrap(err, "compress news")
	}
	if _, err := z.Write(it.Value); err != nil {
		return w, errors.Wrap(err, "compress news")
	}
	if err := z.Close(); err != nil {
		return w, errors.Wrap(err, "compress news")
	}
	w.Value, w.Packed = packed.Bytes(), true
	if packed.Len() > mostValue {
		w.Value, w.Packed, w.Omitted = nil, false, true
	}
	return w, nil
}

func unpack(it wire.RouterUpdate) ([]byte, error) {
	if !it.Packed {
		return it.Value, nil
	}
	z := flate.NewReader(bytes.NewReader(it.Value))
	defer z.Close()
	value, err := io.ReadAll(io.LimitReader(z, mostUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "value cannot be read")
	}
	if len(value) > mostUnpacked {
		return nil, errors.New("value is too long")
	}
	return value, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// roundUp gives whole milliseconds, so that news are not told as younger than they are.
func roundUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
