package link

import (
	"context"
	"encoding/json"
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

var errPanic = errors.New("recovered from panic")

// recoverCall wraps a handler so that a panic fails only the message in progress. A peer
// may send the same message to all processes and repeat it, so it must not terminate the
// process.
func recoverCall(m wire.Method, h Handler) Handler {
	return func(ctx context.Context, from string, body json.RawMessage) (v any, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				logPanic(m, from, cause)
				v, err = nil, fault.New(fault.Internal, "internal error while handling %s", m)
			}
		}()
		return h(ctx, from, body)
	}
}

// recoverNotification recovers from a panic of a notification handler. It must be
// deferred.
func recoverNotification(m wire.Method, from string) {
	if cause := recover(); cause != nil {
		logPanic(m, from, cause)
	}
}

func logPanic(m wire.Method, from string, cause any) {
	klog.ErrorS(errPanic, "message handler panicked", "method", m, "peer", from, "panic", cause, "stack", string(debug.Stack()))
}
