// Package plat is an in-memory stand-in for the platform, for tests, the
// demonstration and measurements. It serves a transactional table, an object
// store and a host list that lags behind its changes, over HTTP on loopback.
// Faults can be injected into the table and the object store.
//
// # Usage
//
//	p := &plat.Platform{ListLag: 2 * time.Second}
//	url, err := p.Start()
//	defer p.Close()
//	p.SetTableFault(plat.Fault{Down: true})
//
// Without Start, a Platform can be used directly as a hoist.Table,
// hoist.ObjectStore and hoist.HostList, with the same faults.
package plat

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Fault describes how a service misbehaves. The zero value is healthy.
type Fault struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is added to each call before it takes effect. A table write takes
	// effect even if its caller has stopped waiting.
	Delay time.Duration
	// LoseAnswers is how many of the next table writes take effect and return
	// hoist.ErrOutcomeUnknown.
	LoseAnswers int
	// LoseWrites is how many of the next table writes have no effect and return
	// hoist.ErrOutcomeUnknown.
	LoseWrites int
}

// Platform is the stand-in. Set the exported fields before the first use.
type Platform struct {
	// ListLag is the delay until List returns a change of the host list.
	ListLag time.Duration

	mu          sync.Mutex
	rows        map[hoist.RowKey]hoist.Row
	objects     map[string][]byte
	listChanges []listChange
	tableFault  Fault
	storeFault  Fault
	reads       int
	writes      int
	server      *http.Server
}

// listChange is one change of the host list, visible to List after ListLag.
type listChange struct {
	at     time.Time
	host   hoist.HostEntry
	remove bool
}

// Start serves the platform on a free loopback port and returns its URL.
func (p *Platform) Start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", merry.Prepend(err, "platform stand-in")
	}
	p.server = &http.Server{Handler: p.handler(), ReadHeaderTimeout: 5 * time.Second}
	// Serve returns http.ErrServerClosed after Close.
	go func() { _ = p.server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// Close stops serving.
func (p *Platform) Close() {
	if p.server != nil {
		_ = p.server.Close()
	}
}

// SetTableFault replaces the fault that applies to the table.
func (p *Platform) SetTableFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tableFault = f
}

// SetStoreFault replaces the fault that applies to the object store.
func (p *Platform) SetStoreFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeFault = f
}

// Counts returns the numbers of table reads and writes so far.
func (p *Platform) Counts() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Rows returns the rows whose keys start with prefix, whatever the fault. Tests use
// it for their checks; it does not count as a read.
func (p *Platform) Rows(prefix hoist.RowKey) []hoist.Row {
	return p.rowsOf(func(k hoist.RowKey) bool { return strings.HasPrefix(string(k), string(prefix)) })
}

// Add adds a host to the host list or replaces its entry.
func (p *Platform) Add(h hoist.HostEntry) {
	p.change(listChange{at: time.Now(), host: h})
}

// Remove removes a host from the host list.
func (p *Platform) Remove(kind hoist.HostKind, id string) {
	p.change(listChange{at: time.Now(), host: hoist.HostEntry{Kind: kind, ID: id}, remove: true})
}

func (p *Platform) change(c listChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listChanges = append(p.listChanges, c)
}

// List implements hoist.HostList.
func (p *Platform) List(context.Context) ([]hoist.HostEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := time.Now().Add(-p.ListLag)
	var out []hoist.HostEntry
	for _, c := range p.listChanges {
		if c.at.After(visible) {
			break
		}
		out = slices.DeleteFunc(out, func(h hoist.HostEntry) bool {
			return h.Kind == c.host.Kind && h.ID == c.host.ID
		})
		if !c.remove {
			out = append(out, c.host)
		}
	}
	return out, nil
}

// Read implements hoist.Table.
func (p *Platform) Read(ctx context.Context, keys ...hoist.RowKey) ([]hoist.Row, error) {
	return p.readRows(ctx, func(k hoist.RowKey) bool { return slices.Contains(keys, k) })
}

// Scan implements hoist.Table.
func (p *Platform) Scan(ctx context.Context, prefix hoist.RowKey) ([]hoist.Row, error) {
	return p.readRows(ctx, func(k hoist.RowKey) bool { return strings.HasPrefix(string(k), string(prefix)) })
}

func (p *Platform) readRows(ctx context.Context, match func(hoist.RowKey) bool) ([]hoist.Row, error) {
	if err := p.applyTableFault(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	return p.rowsOf(match), nil
}

func (p *Platform) rowsOf(match func(hoist.RowKey) bool) []hoist.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []hoist.Row
	for key, row := range p.rows {
		if match(key) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b hoist.Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return out
}

// Commit implements hoist.Table. A deleted row loses its version: if it is written
// again, it starts at version 1.
func (p *Platform) Commit(ctx context.Context, txn hoist.Txn) error {
	p.mu.Lock()
	f := p.tableFault
	p.mu.Unlock()
	if f.Down || f.Delay == 0 {
		if err := applyFault(ctx, f); err != nil {
			return err
		}
		return p.commitNow(txn)
	}
	done := make(chan error, 1)
	time.AfterFunc(f.Delay, func() { done <- p.commitNow(txn) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
	}
}

// commitNow checks and applies the transaction, subject to the LoseWrites and
// LoseAnswers of the table fault.
func (p *Platform) commitNow(txn hoist.Txn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	if p.tableFault.LoseWrites > 0 {
		p.tableFault.LoseWrites--
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("write lost by fault injection"))
	}
	for _, check := range txn.Checks {
		if p.rows[check.Key].Version != check.Version {
			return merry.Wrap(hoist.ErrConflict, merry.PrependMessagef("row %q", check.Key))
		}
	}
	p.apply(txn)
	if p.tableFault.LoseAnswers > 0 {
		p.tableFault.LoseAnswers--
		return merry.Wrap(hoist.ErrOutcomeUnknown, merry.PrependMessage("answer lost by fault injection"))
	}
	return nil
}

func (p *Platform) apply(txn hoist.Txn) {
	if p.rows == nil {
		p.rows = make(map[hoist.RowKey]hoist.Row)
	}
	for _, put := range txn.Puts {
		if put.Value == nil {
			delete(p.rows, put.Key)
			continue
		}
		version := p.rows[put.Key].Version + 1
		p.rows[put.Key] = hoist.Row{Key: put.Key, Value: put.Value, Version: version, Txn: txn.ID}
	}
}

func (p *Platform) applyTableFault(ctx context.Context) error {
	p.mu.Lock()
	f := p.tableFault
	p.mu.Unlock()
	return applyFault(ctx, f)
}

// applyFault waits for the delay of f and returns hoist.ErrUnavailable if the
// service is down.
func applyFault(ctx context.Context, f Fault) error {
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return hoist.ConvertError(hoist.ErrOutcomeUnknown, ctx.Err())
		}
	}
	if f.Down {
		return merry.Wrap(hoist.ErrUnavailable, merry.PrependMessage("platform stand-in is down"))
	}
	return nil
}

// Put implements hoist.ObjectStore.
func (p *Platform) Put(ctx context.Context, name string, body []byte) error {
	if err := p.applyStoreFault(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects == nil {
		p.objects = make(map[string][]byte)
	}
	p.objects[name] = slices.Clone(body)
	return nil
}

// Get implements hoist.ObjectStore.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	if err := p.applyStoreFault(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[name]
	if !ok {
		return nil, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("object %q", name))
	}
	return body, nil
}

func (p *Platform) applyStoreFault(ctx context.Context) error {
	p.mu.Lock()
	f := p.storeFault
	p.mu.Unlock()
	return applyFault(ctx, f)
}
