package gate

import (
	"net/http"

	"fuchsiahoist.example/hoist/internal/decide/admit"
)

// WithoutEffect returns a handler for requests without an effect and without a body. Their
// connections may be closed for others while h handles them. A body delays nothing.
func WithoutEffect(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A victim is closed already, so its response goes nowhere.
		_ = ConnOf(r.Context()).SetPhase(admit.Answering)
		if r.ContentLength != 0 {
			// Otherwise the server reads the body before it writes the response.
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
