package follow

import (
	"context"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// checkReachable returns an error if the store rejects this router's calls, and blocks
// while the router is frozen.
func (n *node) checkReachable(ctx context.Context) error {
	n.mu.Lock()
	refused, frozen := n.refused || n.turnedAway == "rejected" || n.turnedAway == "reset", n.frozen || n.turnedAway == "silent"
	n.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	if refused {
		return platform.ErrUnavailable
	}
	return nil
}

func (n *node) Range(ctx context.Context, prefix string) (platform.Page, error) {
	n.set(func() { n.storeCalls++ })
	if err := n.checkReachable(ctx); err != nil {
		return platform.Page{}, err
	}
	n.set(func() { n.reads++ })
	time.Sleep(n.readTime)
	return n.Store.Range(ctx, prefix)
}

func (n *node) Watch(ctx context.Context, prefix string, after model.Revision, timeout time.Duration) (platform.Page, error) {
	n.set(func() { n.storeCalls++ })
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	if err := n.checkReachable(ctx); err != nil {
		return platform.Page{}, err
	}
	waiting, end := context.WithCancel(ctx)
	defer end()
	go func() {
		if n.awaitTurnedAway(waiting) {
			end()
		}
	}()
	page, err := n.Store.Watch(waiting, prefix, after, timeout)
	if n.isTurnedAway() {
		if waiting.Err() == nil {
			<-ctx.Done()
		}
		return platform.Page{}, platform.ErrUnavailable
	}
	if n.isFrozen() {
		<-ctx.Done()
		return platform.Page{}, platform.ErrUnavailable
	}
	return page, err
}

func (n *node) Get(ctx context.Context, key string) (platform.Item, error) {
	if !n.readsSucceed() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return n.receive(ctx, n.Store.Get, key)
}

func (n *node) Peek(ctx context.Context, key string) (platform.Item, error) {
	if !n.readsSucceed() {
		return platform.Item{}, platform.ErrUnavailable
	}
	return n.receive(ctx, n.Store.Peek, key)
}

// receive reads a key and returns its item once it has crossed this router's link.
func (n *node) receive(ctx context.Context, read func(ctx context.Context, key string) (platform.Item, error), key string) (platform.Item, error) {
	n.mu.Lock()
	link := n.link
	n.mu.Unlock()
	it, err := read(ctx, key)
	if err == nil && link != nil {
		err = link.receive(ctx, len(it.Value))
	}
	return it, err
}

func (n *node) readsSucceed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.readsFail && !n.refused && !n.frozen
}
