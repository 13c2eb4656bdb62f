package daemon

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	external "github.com/skylarkwood/skylarkwood/internal/platform"
)

// errPanic is the cause of errors from code that panicked.
var errPanic = errors.New("recovered from panic")

// recoverPanic must be deferred. It skips an entry of the store whose handling panicked, and
// the previous state stays. Every router reads the same entries, also after a restart, so
// one such entry would end all routers.
func (s *routerSink) recoverPanic(it external.Item) {
	if cause := recover(); cause != nil {
		klog.ErrorS(errPanic, "store entry skipped: handling it panicked", "key", it.Key, "revision", it.Revision, "panic", cause, "stack", string(debug.Stack()))
		s.metrics.countPanic("entry")
	}
}

// decodeConfig decodes a configuration. It returns an error if decoding panics.
func (r *Router) decodeConfig(raw []byte) (cfg *model.RouteConfig, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(errPanic, "decoding configuration panicked", "panic", cause, "stack", string(debug.Stack()))
			r.metrics.countPanic("configuration")
			cfg, err = nil, errors.Wrapf(errPanic, "%v", cause)
		}
	}()
	return r.decode(raw)
}
