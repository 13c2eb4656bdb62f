package follow

import (
	"context"
	"fmt"
)

// without returns the routers whose contents lack a key's value.
func (f *fleet) without(key, value string) []string {
	var out []string
	for _, n := range f.nodes {
		if _, sink := n.running(); !sink.has(key, value) {
			out = append(out, n.Address)
		}
	}
	return out
}

// differs describes the difference between a router's contents and the store; it is
// empty if there is none.
func (f *fleet) differs(n *node) string {
	fl, sink := n.running()
	sink.mu.Lock()
	defer sink.mu.Unlock()
	keys := f.store.Keys("")
	state := fmt.Sprintf("%s, complete up to %d, watching %t,", n.Address, fl.Revision(), fl.Watching())
	for _, key := range keys {
		it, err := f.store.Peek(context.Background(), key)
		if err != nil || sink.items[key] != string(it.Value) {
			return fmt.Sprintf("%s has %.40q for %s, the store %.40q (%v)", state, sink.items[key], key, it.Value, err)
		}
	}
	if len(sink.items) != len(keys) {
		return fmt.Sprintf("%s has %d keys, the store %d", state, len(sink.items), len(keys))
	}
	return ""
}
