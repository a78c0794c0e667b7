package caller

import (
	"net/http"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/rest"
)

// parseNoWait reads whether the caller polls for the answer.
func parseNoWait(h http.Header) (bool, error) {
	switch h.Get(HeaderWait) {
	case "", "yes":
		return false, nil
	case "no":
		return true, nil
	}
	return false, invalid(HeaderWait, "expected yes or no")
}

// servePoll answers with what is known about a request: 202 until it has ended,
// then its answer.
func (s *Server) servePoll(w http.ResponseWriter, r *http.Request) {
	customer, key, err := s.named(r)
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

// serveCancel answers 204 if the request has not started and will not.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	customer, key, err := s.named(r)
	if err == nil {
		err = s.Requests.Cancel(r.Context(), customer, key)
	}
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) named(r *http.Request) (hoist.CustomerID, hoist.RequestKey, error) {
	customer, key := r.Header.Get(HeaderCustomer), r.PathValue("key")
	if customer == "" {
		return "", "", invalid(HeaderCustomer, "is missing")
	}
	if len(key) > maxKey {
		return "", "", invalid("key", "expected 1 to 200 bytes")
	}
	return hoist.CustomerID(customer), hoist.RequestKey(key), nil
}
