package fleet

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// adminHandler returns the handler of an instance's metrics address: commands for operators
// by path, and the metrics at every other path.
func (i *Instance) adminHandler() http.Handler {
	r := chi.NewRouter()
	if i.control != nil {
		r.Get("/features", i.serveFeatures)
	}
	r.Handle("/*", i.metrics)
	return r
}

// serveFeatures responds with the feature levels of the deployment.
func (i *Instance) serveFeatures(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(i.control.FeatureLevels(r.Context()))
}
