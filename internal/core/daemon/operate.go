package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/confs"
	"fuchsiahoist.example/hoist/internal/core/report"
	"fuchsiahoist.example/hoist/internal/decide/config"
)

// operator implements the calls of operators.
var _ hoist.OperatorService = operator{}

// operator is the daemon's service for operators. It is a separate type because some
// of its methods have the same names as calls between hosts.
type operator struct {
	*Daemon
}

// Hosts implements hoist.OperatorService.
func (o operator) Hosts() []hoist.HostStatus {
	versions := make(map[hoist.HostID]confs.HostVersion)
	for _, h := range o.confs.Status() {
		versions[h.Host] = h
	}
	var out []hoist.HostStatus
	for _, m := range o.members.Members() {
		h := versions[m.Host]
		out = append(out, hoist.HostStatus{Member: m, Config: h.Version, Heard: h.Heard})
	}
	return out
}

// FenceHost implements hoist.OperatorService.
func (o operator) FenceHost(ctx context.Context, host hoist.HostID) error {
	return o.members.FenceMember(ctx, host)
}

// ConfigText implements hoist.OperatorService. Before the first change it
// returns the defaults as version 0.
func (o operator) ConfigText() (hoist.ConfigVersion, string) {
	if current := o.confs.Current(); current.Version > 0 {
		return current.Version, current.Text
	}
	return 0, config.Encode(config.Default())
}

// ConfigHistory implements hoist.OperatorService.
func (o operator) ConfigHistory(ctx context.Context) ([]hoist.ConfigChange, error) {
	records, err := o.confs.History(ctx)
	var out []hoist.ConfigChange
	for _, r := range records {
		out = append(out, hoist.ConfigChange{Version: r.Version, ChangeID: r.ChangeID})
	}
	return out, err
}

// ApplyConfig implements hoist.OperatorService. The message of a conflict error
// contains the difference.
func (o operator) ApplyConfig(ctx context.Context, text string) (hoist.ConfigChange, error) {
	r, err := o.confs.Apply(ctx, text)
	if err != nil {
		return hoist.ConfigChange{}, configError(err)
	}
	return hoist.ConfigChange{Version: r.Version, ChangeID: r.ChangeID}, nil
}

// configError converts the errors of the configuration to domain errors.
func configError(err error) error {
	var conflict *confs.ConflictError
	switch {
	case errors.Is(err, config.ErrDocument):
		return hoist.ConvertError(hoist.ErrInvalid, err)
	case errors.As(err, &conflict):
		text := conflict.Error() + "\n" + strings.Join(diffLines(conflict.Changes), "\n")
		return merry.Wrap(hoist.ErrConflict, merry.WithMessage(text))
	default:
		return err
	}
}

func diffLines(changes []config.Change) []string {
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return lines
}

// DiffConfig implements hoist.OperatorService.
func (o operator) DiffConfig(text string) ([]string, error) {
	doc, err := config.Parse(text)
	if err == nil {
		err = doc.CheckCell(o.tasks.Cell())
	}
	if err != nil {
		return nil, configError(err)
	}
	return diffLines(config.Diff(o.document(), doc)), nil
}

// Jobs implements hoist.OperatorService.
func (o operator) Jobs(ctx context.Context, team hoist.TeamID) ([]hoist.JobState, error) {
	return o.tasks.Show(ctx, team)
}

// SubmitJob implements hoist.OperatorService.
func (o operator) SubmitJob(ctx context.Context, s hoist.JobSpec) error {
	return checkedTasks{o.tasks, o.document}.Submit(ctx, s)
}

// CancelJob implements hoist.OperatorService.
func (o operator) CancelJob(ctx context.Context, ref hoist.JobRef) error {
	return o.tasks.Cancel(ctx, ref)
}

// Workers implements hoist.OperatorService.
func (o operator) Workers(ctx context.Context) []hoist.Candidate {
	var out []hoist.Candidate
	for _, r := range o.Reports(ctx) {
		out = append(out, r.Workers...)
	}
	slices.SortFunc(out, func(a, b hoist.Candidate) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return out
}

// Executors implements hoist.OperatorService.
func (o operator) Executors(ctx context.Context) ([]hoist.HostEntry, error) {
	listed, err := drainedList{o.HostList, o.document}.List(ctx)
	return slices.DeleteFunc(listed, func(l hoist.HostEntry) bool { return l.Kind != hoist.HostKindExecutor }), err
}

// SetDrain implements hoist.OperatorService. If another change is accepted first, it
// applies the drain again to the newer configuration.
func (o operator) SetDrain(ctx context.Context, d hoist.Drain) error {
	const tries = 5
	var err error
	for try := range tries {
		doc, isChanged := withDrain(o.document(), d)
		if !isChanged {
			return nil
		}
		doc.Version++
		doc.ChangeID = hoist.ChangeID(fmt.Sprintf("drain-%s-%s-%d-%d", o.Params.Host, d.ID, o.Clock.Now().UnixNano(), try))
		_, err = o.confs.Apply(ctx, config.Encode(doc))
		if !errors.Is(err, hoist.ErrConflict) {
			break
		}
	}
	if err != nil {
		return configError(err)
	}
	return nil
}

// withDrain returns doc with the drain added or removed, and whether that changes it.
func withDrain(doc config.Document, d hoist.Drain) (config.Document, bool) {
	entry := config.Drain{Kind: d.Kind, Name: d.ID}
	isDrained := slices.Contains(doc.Drains, entry)
	if isDrained == d.IsDrain {
		return doc, false
	}
	drains := slices.DeleteFunc(slices.Clone(doc.Drains), func(e config.Drain) bool { return e == entry })
	if d.IsDrain {
		drains = append(drains, entry)
	}
	doc.Drains = drains
	return doc, true
}

// WriteReport implements hoist.OperatorService.
func (o operator) WriteReport(ctx context.Context, name string, isHTML bool) (string, error) {
	doc := o.document()
	layout, ok := doc.Report(config.ReportName(name))
	if !ok {
		return "", merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("report %q", name))
	}
	table := report.Make(layout.Name, o.Reports(ctx), doc)
	write := report.WriteText
	if isHTML {
		write = report.WriteHTML
	}
	var b strings.Builder
	err := write(&b, layout, table)
	return b.String(), err
}

// drainedList is the platform's host list, in which the entries that the configuration
// drains are marked as leaving.
type drainedList struct {
	list     hoist.HostList
	document func() config.Document
}

// List implements hoist.HostList.
func (d drainedList) List(ctx context.Context) ([]hoist.HostEntry, error) {
	listed, err := d.list.List(ctx)
	if err != nil {
		return nil, err
	}
	drains := make(map[config.Drain]bool)
	for _, entry := range d.document().Drains {
		drains[entry] = true
	}
	out := slices.Clone(listed)
	for i, l := range out {
		if drains[config.Drain{Kind: l.Kind, Name: l.ID}] {
			out[i].Leaving = true
		}
	}
	return out, nil
}
