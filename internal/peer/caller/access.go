package caller

import (
	"context"
	"net/http"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
)

type identityKey struct{}

// authenticate authenticates the caller of every call but the health check and
// adds its identity to the context. It rejects callers that act for a customer
// that is not theirs.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/health" {
			next.ServeHTTP(w, r)
			return
		}
		id, err := s.Access.Authenticate(r)
		if err != nil {
			w.Header().Set("www-authenticate", "Bearer")
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		customer := hoist.CustomerID(r.Header.Get(HeaderCustomer))
		if customer != "" && !id.MayActFor(customer) {
			http.Error(w, hoist.ErrDenied.Error(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, id)))
	})
}

// checkTeamAccess reports whether the caller of r may act for the team. If not, it
// writes an error reply.
func checkTeamAccess(w http.ResponseWriter, r *http.Request, team hoist.TeamID) bool {
	id, _ := r.Context().Value(identityKey{}).(access.Identity)
	if id.MayCharge(team) {
		return true
	}
	http.Error(w, hoist.ErrDenied.Error(), http.StatusForbidden)
	return false
}

// requireTeamAccess rejects calls of callers that may not act for the team in the
// path.
func requireTeamAccess(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if checkTeamAccess(w, r, hoist.TeamID(r.PathValue("team"))) {
			next(w, r)
		}
	}
}
