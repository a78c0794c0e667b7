package caller

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/rest"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// handleJobs adds the paths of accepted jobs.
func (s *Server) handleJobs(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/teams/{team}/jobs", ofTeam(s.showJobs))
	mux.HandleFunc("GET /v1/teams/{team}/jobs/{job}", ofTeam(s.showJob))
	mux.HandleFunc("GET /v1/teams/{team}/jobs/{job}/why", ofTeam(s.whyJob))
	mux.HandleFunc("DELETE /v1/teams/{team}/jobs/{job}", ofTeam(s.cancelJob))
}

func (s *Server) showJobs(w http.ResponseWriter, r *http.Request) {
	states, err := s.Jobs.Show(r.Context(), hoist.TeamID(r.PathValue("team")))
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	rest.WriteJSON(w, http.StatusOK, wire.JobStates{Jobs: codec.Map(states, codec.JobState)})
}

func (s *Server) showJob(w http.ResponseWriter, r *http.Request) {
	state, err := s.findJob(r.Context(), refOf(r))
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	rest.WriteJSON(w, http.StatusOK, codec.JobState(state))
}

// whyJob answers with one line of text for people.
func (s *Server) whyJob(w http.ResponseWriter, r *http.Request) {
	state, err := s.findJob(r.Context(), refOf(r))
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	text := state.Reason
	if text == "" {
		text = "the job does not wait: it is " + string(state.Phase)
	}
	w.Header().Set("content-type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(text + "\n"))
}

// cancelJob answers 204 when the cancellation is recorded and nothing of the
// job starts any more.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	if err := s.Jobs.Cancel(r.Context(), refOf(r)); err != nil {
		rest.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func refOf(r *http.Request) hoist.JobRef {
	return hoist.JobRef{Team: hoist.TeamID(r.PathValue("team")), Job: hoist.JobID(r.PathValue("job"))}
}

func (s *Server) findJob(ctx context.Context, ref hoist.JobRef) (hoist.JobState, error) {
	states, err := s.Jobs.Show(ctx, ref.Team)
	if err != nil {
		return hoist.JobState{}, err
	}
	for _, state := range states {
		if state.Spec.ID == ref.Job {
			return state, nil
		}
	}
	return hoist.JobState{}, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("team %s has no job %s", ref.Team, ref.Job))
}
