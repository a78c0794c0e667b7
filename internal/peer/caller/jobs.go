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

// routeJobs adds the routes of accepted jobs to mux.
func (s *Server) routeJobs(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/teams/{team}/jobs", requireTeamAccess(s.showJobs))
	mux.HandleFunc("GET /v1/teams/{team}/jobs/{job}", requireTeamAccess(s.showJob))
	mux.HandleFunc("GET /v1/teams/{team}/jobs/{job}/why", requireTeamAccess(s.explainJob))
	mux.HandleFunc("DELETE /v1/teams/{team}/jobs/{job}", requireTeamAccess(s.cancelJob))
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
	state, err := s.findJob(r.Context(), pathJobRef(r))
	if err != nil {
		rest.WriteError(w, err)
		return
	}
	rest.WriteJSON(w, http.StatusOK, codec.JobState(state))
}

// explainJob replies with the reason why a job waits, as one line of plain text.
func (s *Server) explainJob(w http.ResponseWriter, r *http.Request) {
	state, err := s.findJob(r.Context(), pathJobRef(r))
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

// cancelJob replies with status 204 once the cancellation is recorded and no
// further task of the job can start.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	if err := s.Jobs.Cancel(r.Context(), pathJobRef(r)); err != nil {
		rest.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// pathJobRef returns the job that the path of r names.
func pathJobRef(r *http.Request) hoist.JobRef {
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
