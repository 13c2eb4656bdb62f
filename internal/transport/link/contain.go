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

// errPanicked says that the code which handles a message panicked.
var errPanicked = errors.New("panic in the code")

// contained makes a panic of a handler the fault of one message. A peer tells all others
// the same, and tells it again: a message that ended its reader would end every process
// that it is sent to.
func contained(m wire.Method, h Handler) Handler {
	return func(ctx context.Context, from string, body json.RawMessage) (v any, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				tellPanic(m, from, cause)
				v, err = nil, fault.New(fault.Internal, "a fault in the code ended the handling of %s", m)
			}
		}()
		return h(ctx, from, body)
	}
}

// containNotice is the same for a notice.
func containNotice(m wire.Method, from string) {
	if cause := recover(); cause != nil {
		tellPanic(m, from, cause)
	}
}

func tellPanic(m wire.Method, from string, cause any) {
	klog.ErrorS(errPanicked, "message passed over", "method", m, "peer", from, "panic", cause, "stack", string(debug.Stack()))
}
