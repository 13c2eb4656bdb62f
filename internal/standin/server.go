package standin

import (
	"encoding/json"
	"net/http"

	"github.com/skylarkwood/skylarkwood/api/platform/v1/platformv1connect"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// KVHandler returns a handler that serves the key-value service. POST /control sets its
// KVFaults and GET /control returns its KVCalls, both as JSON.
func KVHandler(kv *KV) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewKeyValueServiceHandler(kvServer{kv}))
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var f KVFaults
		if !decode(w, r, &f) {
			return
		}
		kv.SetFaults(f)
	})
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, kv.Calls())
	})
	return mux
}

// InstancesHandler returns a handler that serves the instance list. POST /control replaces
// the list.
func InstancesHandler(i *Instances) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewInstanceListServiceHandler(instancesServer{i}))
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		var list []model.Instance
		if !decode(w, r, &list) {
			return
		}
		i.Set(list)
	})
	return mux
}

// EngineHandler returns a handler that serves an engine. GET /control?prefix=P returns the
// number of positions that ran for sessions whose names begin with P.
func EngineHandler(e *Engine) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewEngineServiceHandler(engineServer{e}))
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, e.PositionsRun(r.URL.Query().Get("prefix")))
	})
	return mux
}

// PlainHandler returns a handler that serves a plain service. GET /control returns how often
// each call was executed.
func PlainHandler(p *Plain) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewPlainServiceHandler(plainServer{p}))
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Counts())
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
