package admin

import (
	"bytes"
	"context"
	"embed"
	"errors"
	"fmt"
	"html/template"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
)

//go:embed pages/*.html
var pageFiles embed.FS

var pages = template.Must(template.ParseFS(pageFiles, "pages/*.html"))

// page is what every template receives.
type page struct {
	Title   string
	Name    string
	FormKey string
	CanEdit bool
	// Notice tells what a form did; Error tells why it did not.
	Notice string
	Error  string
	// Problems tells what is wrong with the fields of a form, by field.
	Problems map[string]string
	Data     any
}

// routePages adds the pages of the console.
func (s *Server) routePages(app *iris.Application) {
	app.Get("/login", func(ctx iris.Context) { s.show(ctx, session{}, "login.html", page{Title: "Log in"}) })
	app.Post("/login", s.login)
	app.Post("/logout", s.logout)
	app.Get("/", s.view(s.overview))
	app.Get("/config", s.view(s.configPage))
	app.Post("/config", s.post(s.configForm))
	app.Get("/jobs", s.view(s.jobsPage))
	app.Post("/jobs", s.post(s.jobForm))
	app.Post("/jobs/cancel", s.post(s.cancelForm))
	app.Get("/workers", s.view(s.workersPage))
	app.Post("/drain", s.post(s.drainForm))
	app.Get("/reports/{name}", s.view(s.reportPage))
}

// view makes a handler of a page that anyone who may view sees.
func (s *Server) view(show func(iris.Context, session)) iris.Handler {
	return func(ctx iris.Context) {
		if found, ok := s.session(ctx, access.View); ok {
			show(ctx, found)
		}
	}
}

// post makes a handler of a form.
func (s *Server) post(handle func(iris.Context, session)) iris.Handler {
	return func(ctx iris.Context) {
		if found, ok := s.posted(ctx); ok {
			handle(ctx, found)
		}
	}
}

// show renders a page. It is rendered whole before anything is sent.
func (s *Server) show(ctx iris.Context, found session, name string, p page) {
	p.Name = found.identity.Name
	p.FormKey = found.formKey
	p.CanEdit = found.identity.May(access.Operate)
	var b bytes.Buffer
	if err := pages.ExecuteTemplate(&b, name, p); err != nil {
		ctx.StopWithText(http.StatusInternalServerError, "the page could not be made")
		return
	}
	if p.Error != "" || len(p.Problems) > 0 {
		ctx.StatusCode(http.StatusUnprocessableEntity)
	}
	ctx.ContentType("text/html; charset=utf-8")
	// The browser is gone if this fails.
	_, _ = ctx.Write(b.Bytes())
}

func (s *Server) login(ctx iris.Context) {
	request := ctx.Request().Clone(ctx)
	request.Header.Set("authorization", "Bearer "+ctx.PostValue("token"))
	id, err := s.Access.Authenticate(request)
	if err != nil || !id.May(access.View) {
		s.show(ctx, session{}, "login.html", page{Title: "Log in", Error: "This token does not give access."})
		return
	}
	key := s.sessions.open(id, s.Clock.Now())
	if key == "" {
		s.show(ctx, session{}, "login.html", page{Title: "Log in", Error: "Too many sessions are open."})
		return
	}
	s.setCookie(ctx, key, sessionTime)
	ctx.Redirect("/", http.StatusSeeOther)
}

func (s *Server) logout(ctx iris.Context) {
	s.sessions.close(ctx.GetCookie(cookieName))
	s.setCookie(ctx, "", -time.Second)
	ctx.Redirect("/login", http.StatusSeeOther)
}

func (s *Server) overview(ctx iris.Context, found session) {
	s.show(ctx, found, "overview.html", page{Title: "Hosts", Data: s.Service.Hosts()})
}

// configData is what the configuration page shows.
type configData struct {
	Version hoist.ConfigVersion
	Text    string
	Diff    []string
	// IsPreview tells that the text was checked and can be applied.
	IsPreview bool
}

func (s *Server) configPage(ctx iris.Context, found session) {
	version, text := s.Service.ConfigText()
	s.show(ctx, found, "config.html", page{Title: "Configuration", Data: configData{Version: version, Text: text}})
}

// configForm previews a document or applies it. The text of a refused document
// stays in the form.
func (s *Server) configForm(ctx iris.Context, found session) {
	text := strings.ReplaceAll(ctx.PostValue("document"), "\r\n", "\n")
	version, _ := s.Service.ConfigText()
	p := page{Title: "Configuration", Data: configData{Version: version, Text: text}}
	if ctx.PostValue("action") != "apply" {
		lines, err := s.Service.DiffConfig(text)
		p.Error = formError(err)
		p.Data = configData{Version: version, Text: text, Diff: lines, IsPreview: err == nil}
		s.show(ctx, found, "config.html", p)
		return
	}
	change, err := s.Service.ApplyConfig(ctx.Request().Context(), text)
	if err != nil {
		p.Error = formError(err)
		s.show(ctx, found, "config.html", p)
		return
	}
	p.Notice = fmt.Sprintf("Version %d (%s) is accepted.", change.Version, change.ChangeID)
	p.Data = configData{Version: change.Version, Text: text}
	s.show(ctx, found, "config.html", p)
}

// formError tells an operator why a form had no effect, or that it may have.
func formError(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, hoist.ErrOutcomeUnknown):
		return "The outcome is unknown; sending the same form again is safe. " + err.Error()
	default:
		return err.Error()
	}
}

// jobsData is what the jobs page shows. Form holds what was entered.
type jobsData struct {
	Team hoist.TeamID
	Jobs []hoist.JobState
	Form map[string]string
}

// jobFields are the fields of the job form.
var jobFields = []string{"id", "team", "kind", "tasks", "cpu-millis", "memory-mib", "accelerators", "priority", "urgent", "run-time", "deadline"}

func (s *Server) jobsPage(ctx iris.Context, found session) {
	s.showJobs(ctx, found, page{}, hoist.TeamID(ctx.URLParam("team")), nil)
}

func (s *Server) showJobs(ctx iris.Context, found session, p page, team hoist.TeamID, form map[string]string) {
	p.Title = "Jobs"
	data := jobsData{Team: team, Form: form}
	if team != "" {
		callCtx, cancel := context.WithTimeout(ctx.Request().Context(), shutdownTime)
		defer cancel()
		jobs, err := s.Service.Jobs(callCtx, team)
		data.Jobs = jobs
		if err != nil && p.Error == "" {
			p.Error = formError(err)
		}
	}
	p.Data = data
	s.show(ctx, found, "jobs.html", p)
}

func (s *Server) jobForm(ctx iris.Context, found session) {
	form := make(map[string]string)
	for _, field := range jobFields {
		form[field] = strings.TrimSpace(ctx.PostValue(field))
	}
	spec, problems := parseJob(form)
	if len(problems) > 0 {
		s.showJobs(ctx, found, page{Problems: problems}, hoist.TeamID(form["team"]), form)
		return
	}
	if err := s.Service.SubmitJob(ctx.Request().Context(), spec); err != nil {
		s.showJobs(ctx, found, page{Error: formError(err)}, hoist.TeamID(form["team"]), form)
		return
	}
	s.showJobs(ctx, found, page{Notice: fmt.Sprintf("Job %s is accepted.", spec.ID)}, spec.Team, nil)
}

// parseJob reads the job form and returns what is wrong with it, by field.
func parseJob(form map[string]string) (hoist.JobSpec, map[string]string) {
	problems := make(map[string]string)
	numbers := make(map[string]int64)
	for _, field := range []string{"tasks", "cpu-millis", "memory-mib", "accelerators", "priority"} {
		if form[field] == "" {
			continue
		}
		n, err := strconv.ParseInt(form[field], 10, 32)
		if err != nil {
			problems[field] = fmt.Sprintf("%q is not a whole number", form[field])
		}
		numbers[field] = n
	}
	spec := hoist.JobSpec{
		ID: hoist.JobID(form["id"]), Team: hoist.TeamID(form["team"]), Kind: hoist.JobKind(form["kind"]),
		Tasks: int(numbers["tasks"]),
		Need: hoist.Resources{
			CPU:    hoist.MilliCPU(numbers["cpu-millis"]),
			Memory: hoist.MiB(numbers["memory-mib"]),
			Accel:  hoist.Accelerators(numbers["accelerators"]),
		},
		Priority: hoist.Priority(numbers["priority"]),
		Urgent:   form["urgent"] == "yes",
	}
	var err error
	if text := form["run-time"]; text != "" {
		if spec.RunTime, err = time.ParseDuration(text); err != nil {
			problems["run-time"] = fmt.Sprintf("%q is not a duration like 90s or 2h30m", text)
		}
	}
	if text := form["deadline"]; text != "" {
		if spec.Deadline, err = time.Parse(time.RFC3339, text); err != nil {
			problems["deadline"] = fmt.Sprintf("%q is not a time like 2026-12-04T18:00:00Z", text)
		}
	}
	for _, field := range []string{"id", "team", "tasks"} {
		if form[field] == "" {
			problems[field] = "is needed"
		}
	}
	return spec, problems
}

func (s *Server) cancelForm(ctx iris.Context, found session) {
	ref := hoist.JobRef{Team: hoist.TeamID(ctx.PostValue("team")), Job: hoist.JobID(ctx.PostValue("job"))}
	p := page{Notice: fmt.Sprintf("Job %s is cancelled.", ref.Job)}
	if err := s.Service.CancelJob(ctx.Request().Context(), ref); err != nil {
		p = page{Error: formError(err)}
	}
	s.showJobs(ctx, found, p, ref.Team, nil)
}

// workersData is what the workers page shows.
type workersData struct {
	Workers   []hoist.Candidate
	Executors []hoist.HostEntry
}

func (s *Server) workersPage(ctx iris.Context, found session) {
	s.showWorkers(ctx, found, page{})
}

func (s *Server) showWorkers(ctx iris.Context, found session, p page) {
	executors, err := s.Service.Executors(ctx.Request().Context())
	if err != nil && p.Error == "" {
		p.Error = formError(err)
	}
	p.Title = "Workers and executors"
	p.Data = workersData{Workers: s.Service.Workers(ctx.Request().Context()), Executors: executors}
	s.show(ctx, found, "workers.html", p)
}

func (s *Server) drainForm(ctx iris.Context, found session) {
	d := hoist.Drain{
		Kind: hoist.HostKind(ctx.PostValue("kind")), ID: ctx.PostValue("id"), IsDrain: ctx.PostValue("action") == "drain",
	}
	p := page{Notice: fmt.Sprintf("%s %s: %s.", d.Kind, d.ID, ctx.PostValue("action"))}
	if err := s.Service.SetDrain(ctx.Request().Context(), d); err != nil {
		p = page{Error: formError(err)}
	}
	s.showWorkers(ctx, found, p)
}

func (s *Server) reportPage(ctx iris.Context, found session) {
	text, err := s.Service.WriteReport(ctx.Request().Context(), ctx.Params().Get("name"), true)
	if errors.Is(err, hoist.ErrNotFound) {
		ctx.StopWithText(http.StatusNotFound, "%s", err)
		return
	}
	// The report is HTML that escapes its values.
	p := page{Title: "Report", Error: formError(err), Data: template.HTML(text)}
	s.show(ctx, found, "report.html", p)
}
