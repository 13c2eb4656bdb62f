package daemon

import (
	"net"
	"net/http"
	"net/http/pprof"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/platform"
)

func (r *Router) serveReady(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	err := guard.Serve(guard.NewServer(guard.WithoutBody(mux)), l, guard.Options{Budget: r.clients, Listener: clientbudget.Readiness})
	klog.InfoS("serving readiness checks failed", "err", err)
}

func (r *Router) serveMetrics(addr string) {
	l, err := listenTCP(addr)
	if err == nil {
		err = guard.Serve(guard.NewServer(guard.WithoutBody(r.metricsHandler())), l, guard.Options{Budget: r.clients, Listener: clientbudget.Metrics})
	}
	klog.ErrorS(err, "serving metrics failed")
}

// metricsHandler serves the metrics and profiles of this process. The profiles hold names of
// functions, but no contents of memory and no arguments.
func (r *Router) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", r.metrics.handler())
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	for _, name := range []string{"heap", "allocs", "mutex"} {
		mux.Handle("/debug/pprof/"+name, pprof.Handler(name))
	}
	return mux
}
