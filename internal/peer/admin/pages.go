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

// page is the data of every template.
type page struct {
	Title   string
	Name    string
	FormKey string
	CanEdit bool
	// Notice describes the effect of a submitted form, Error why it had none.
	Notice string
	Error  string
	// Problems describes the invalid fields of a form, by field name.
	Problems map[string]string
	Data     any
}

// routePages adds the routes of the console.
func (s *Server) routePages(app *iris.Application) {
	app.Get("/login", func(ctx iris.Context) { s.render(ctx, session{}, "login.html", page{Title: "Log in"}) })
	app.Post("/login", s.login)
	app.Post("/logout", s.logout)
	app.Get("/", s.pageHandler(s.overview))
	app.Get("/config", s.pageHandler(s.configPage))
	app.Post("/config", s.formHandler(s.configForm))
	app.Get("/jobs", s.pageHandler(s.jobsPage))
	app.Post("/jobs", s.formHandler(s.jobForm))
	app.Post("/jobs/cancel", s.formHandler(s.cancelForm))
	app.Get("/workers", s.pageHandler(s.workersPage))
	app.Post("/drain", s.formHandler(s.drainForm))
	app.Get("/reports/{name}", s.pageHandler(s.reportPage))
}

// pageHandler returns a handler that calls show if the session has read access.
func (s *Server) pageHandler(show func(iris.Context, session)) iris.Handler {
	return func(ctx iris.Context) {
		if sess, ok := s.pageSession(ctx, access.View); ok {
			show(ctx, sess)
		}
	}
}

// formHandler returns a handler that calls handle if the session has write access
// and the form belongs to it.
func (s *Server) formHandler(handle func(iris.Context, session)) iris.Handler {
	return func(ctx iris.Context) {
		if sess, ok := s.formSession(ctx); ok {
			handle(ctx, sess)
		}
	}
}

// render sends a page. It executes the whole template before it sends anything, so
// that an error does not leave a truncated page.
func (s *Server) render(ctx iris.Context, sess session, name string, p page) {
	p.Name = sess.identity.Name
	p.FormKey = sess.formKey
	p.CanEdit = sess.identity.May(access.Operate)
	var b bytes.Buffer
	if err := pages.ExecuteTemplate(&b, name, p); err != nil {
		ctx.StopWithText(http.StatusInternalServerError, "the page could not be rendered")
		return
	}
	if p.Error != "" || len(p.Problems) > 0 {
		ctx.StatusCode(http.StatusUnprocessableEntity)
	}
	ctx.ContentType("text/html; charset=utf-8")
	// The write fails only if the browser has closed the connection.
	_, _ = ctx.Write(b.Bytes())
}

func (s *Server) login(ctx iris.Context) {
	request := ctx.Request().Clone(ctx)
	request.Header.Set("authorization", "Bearer "+ctx.PostValue("token"))
	id, err := s.Access.Authenticate(request)
	if err != nil || !id.May(access.View) {
		s.render(ctx, session{}, "login.html", page{Title: "Log in", Error: "This token does not grant access to the console."})
		return
	}
	key := s.sessions.open(id, s.Clock.Now())
	if key == "" {
		s.render(ctx, session{}, "login.html", page{Title: "Log in", Error: "Too many sessions are open on this host."})
		return
	}
	s.setCookie(ctx, key, sessionDuration)
	ctx.Redirect("/", http.StatusSeeOther)
}

func (s *Server) logout(ctx iris.Context) {
	s.sessions.close(ctx.GetCookie(cookieName))
	s.setCookie(ctx, "", -time.Second)
	ctx.Redirect("/login", http.StatusSeeOther)
}

func (s *Server) overview(ctx iris.Context, sess session) {
	s.render(ctx, sess, "overview.html", page{Title: "Hosts", Data: s.Service.Hosts()})
}

// configData is the data of the configuration page.
type configData struct {
	Version hoist.ConfigVersion
	Text    string
	Diff    []string
	// IsPreview reports whether the text was checked and can be applied.
	IsPreview bool
}

func (s *Server) configPage(ctx iris.Context, sess session) {
	version, text := s.Service.ConfigText()
	s.render(ctx, sess, "config.html", page{Title: "Configuration", Data: configData{Version: version, Text: text}})
}

// configForm previews a document or applies it. If the document is rejected, its
// text remains in the form.
func (s *Server) configForm(ctx iris.Context, sess session) {
	text := strings.ReplaceAll(ctx.PostValue("document"), "\r\n", "\n")
	version, _ := s.Service.ConfigText()
	p := page{Title: "Configuration", Data: configData{Version: version, Text: text}}
	if ctx.PostValue("action") != "apply" {
		lines, err := s.Service.DiffConfig(text)
		p.Error = formError(err)
		p.Data = configData{Version: version, Text: text, Diff: lines, IsPreview: err == nil}
		s.render(ctx, sess, "config.html", p)
		return
	}
	change, err := s.Service.ApplyConfig(ctx.Request().Context(), text)
	if err != nil {
		p.Error = formError(err)
		s.render(ctx, sess, "config.html", p)
		return
	}
	p.Notice = fmt.Sprintf("Version %d (%s) is accepted.", change.Version, change.ChangeID)
	p.Data = configData{Version: change.Version, Text: text}
	s.render(ctx, sess, "config.html", p)
}

// formError returns the message for an error of a form: why the form had no
// effect, or that its effect is unknown. It returns "" if there is no error.
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

// jobsData is the data of the jobs page. Form holds the values that were entered,
// by field name.
type jobsData struct {
	Team hoist.TeamID
	Jobs []hoist.JobState
	Form map[string]string
}

// jobFormFields lists the field names of the job form.
var jobFormFields = []string{"id", "team", "kind", "tasks", "cpu-millis", "memory-mib", "accelerators", "priority", "urgent", "run-time", "deadline"}

func (s *Server) jobsPage(ctx iris.Context, sess session) {
	s.showJobs(ctx, sess, page{}, hoist.TeamID(ctx.URLParam("team")), nil)
}

func (s *Server) showJobs(ctx iris.Context, sess session, p page, team hoist.TeamID, form map[string]string) {
	p.Title = "Jobs"
	data := jobsData{Team: team, Form: form}
	if team != "" {
		callCtx, cancel := context.WithTimeout(ctx.Request().Context(), callTimeout)
		defer cancel()
		jobs, err := s.Service.Jobs(callCtx, team)
		data.Jobs = jobs
		if err != nil && p.Error == "" {
			p.Error = formError(err)
		}
	}
	p.Data = data
	s.render(ctx, sess, "jobs.html", p)
}

func (s *Server) jobForm(ctx iris.Context, sess session) {
	form := make(map[string]string)
	for _, field := range jobFormFields {
		form[field] = strings.TrimSpace(ctx.PostValue(field))
	}
	spec, problems := parseJob(form)
	if len(problems) > 0 {
		s.showJobs(ctx, sess, page{Problems: problems}, hoist.TeamID(form["team"]), form)
		return
	}
	if err := s.Service.SubmitJob(ctx.Request().Context(), spec); err != nil {
		s.showJobs(ctx, sess, page{Error: formError(err)}, hoist.TeamID(form["team"]), form)
		return
	}
	s.showJobs(ctx, sess, page{Notice: fmt.Sprintf("Job %s is accepted.", spec.ID)}, spec.Team, nil)
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
			problems[field] = "is required"
		}
	}
	return spec, problems
}

func (s *Server) cancelForm(ctx iris.Context, sess session) {
	ref := hoist.JobRef{Team: hoist.TeamID(ctx.PostValue("team")), Job: hoist.JobID(ctx.PostValue("job"))}
	p := page{Notice: fmt.Sprintf("Job %s is cancelled.", ref.Job)}
	if err := s.Service.CancelJob(ctx.Request().Context(), ref); err != nil {
		p = page{Error: formError(err)}
	}
	s.showJobs(ctx, sess, p, ref.Team, nil)
}

// workersData is the data of the workers page.
type workersData struct {
	Workers   []hoist.Candidate
	Executors []hoist.HostEntry
}

func (s *Server) workersPage(ctx iris.Context, sess session) {
	s.showWorkers(ctx, sess, page{})
}

func (s *Server) showWorkers(ctx iris.Context, sess session, p page) {
	executors, err := s.Service.Executors(ctx.Request().Context())
	if err != nil && p.Error == "" {
		p.Error = formError(err)
	}
	p.Title = "Workers and executors"
	p.Data = workersData{Workers: s.Service.Workers(ctx.Request().Context()), Executors: executors}
	s.render(ctx, sess, "workers.html", p)
}

func (s *Server) drainForm(ctx iris.Context, sess session) {
	d := hoist.Drain{
		Kind: hoist.HostKind(ctx.PostValue("kind")), ID: ctx.PostValue("id"), IsDrain: ctx.PostValue("action") == "drain",
	}
	p := page{Notice: fmt.Sprintf("%s %s: %s.", d.Kind, d.ID, ctx.PostValue("action"))}
	if err := s.Service.SetDrain(ctx.Request().Context(), d); err != nil {
		p = page{Error: formError(err)}
	}
	s.showWorkers(ctx, sess, p)
}

func (s *Server) reportPage(ctx iris.Context, sess session) {
	text, err := s.Service.WriteReport(ctx.Request().Context(), ctx.Params().Get("name"), true)
	if errors.Is(err, hoist.ErrNotFound) {
		ctx.StopWithText(http.StatusNotFound, "%s", err)
		return
	}
	// The report is HTML in which all values are escaped already.
	p := page{Title: "Report", Error: formError(err), Data: template.HTML(text)}
	s.render(ctx, sess, "report.html", p)
}
