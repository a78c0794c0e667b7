package caller

import (
	"context"
	"net/http"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
)

type identityKey struct{}

// identify authenticates every call but the health check, and refuses callers
// that act for another customer.
func (s *Server) identify(next http.Handler) http.Handler {
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
		if customer != "" && !id.MayUse(customer) {
			http.Error(w, hoist.ErrDenied.Error(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, id)))
	})
}

// mayCharge reports whether the caller of r acts for the team, and refuses the
// call otherwise.
func mayCharge(w http.ResponseWriter, r *http.Request, team hoist.TeamID) bool {
	id, _ := r.Context().Value(identityKey{}).(access.Identity)
	if id.MayCharge(team) {
		return true
	}
	http.Error(w, hoist.ErrDenied.Error(), http.StatusForbidden)
	return false
}

// ofTeam refuses calls of callers that do not act for the team in the path.
func ofTeam(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if mayCharge(w, r, hoist.TeamID(r.PathValue("team"))) {
			next(w, r)
		}
	}
}
