package caller

import (
	"net/http"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// parseNoWait reports whether the caller polls for the answer instead of waiting
// for it.
func parseNoWait(h http.Header) (bool, error) {
	switch h.Get(HeaderWait) {
	case "", "yes":
		return false, nil
	case "no":
		return true, nil
	}
	return false, invalid(HeaderWait, "expected yes or no")
}

// servePoll replies with the answer to a request, or with status 202 while the
// request has not ended.
func (s *Server) servePoll(w http.ResponseWriter, r *http.Request) {
	customer, key, err := s.parsePollTarget(r)
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	answer, err := s.Requests.Poll(r.Context(), customer, key)
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	WriteAnswer(w, answer)
}

// serveCancel replies with status 204 if the request had not started and will not
// be run.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	customer, key, err := s.parsePollTarget(r)
	if err == nil {
		err = s.Requests.Cancel(r.Context(), customer, key)
	}
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// parsePollTarget returns the customer and key of the request that r names.
func (s *Server) parsePollTarget(r *http.Request) (hoist.CustomerID, hoist.RequestKey, error) {
	customer, key := r.Header.Get(HeaderCustomer), r.PathValue("key")
	if customer == "" {
		return "", "", invalid(HeaderCustomer, "is missing")
	}
	if len(key) > maxKeyBytes {
		return "", "", invalid("key", "expected 1 to 200 bytes")
	}
	return hoist.CustomerID(customer), hoist.RequestKey(key), nil
}
