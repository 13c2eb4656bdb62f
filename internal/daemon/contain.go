package daemon

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
	outside "github.com/skylarkwood/skylarkwood/internal/platform"
)

// errPanic says that the code which reads something panicked.
var errPanic = errors.New("panic in the code")

// recoverPanic, deferred, passes an entry over whose reading panicked. Every router reads the
// same entries, and reads them again when it starts: one that ended its reader would end
// all routers, for as long as it stands. What was in force before it stays.
func (s *routerSink) recoverPanic(it outside.Item) {
	if cause := recover(); cause != nil {
		klog.ErrorS(errPanic, "entry passed over", "key", it.Key, "revision", it.Revision, "panic", cause, "stack", string(debug.Stack()))
		s.metrics.countPanic("entry")
	}
}

// decodeConfig reads a configuration of the operator's; a panic is an error.
func (r *Router) decodeConfig(raw []byte) (cfg *model.RouteConfig, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(errPanic, "configuration cannot be read", "panic", cause, "stack", string(debug.Stack()))
			r.metrics.countPanic("configuration")
			cfg, err = nil, errors.Wrapf(errPanic, "%v", cause)
		}
	}()
	return r.decode(raw)
}
