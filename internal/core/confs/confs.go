// Package confs stores the configuration in the platform's table and distributes
// it to the hosts. The table decides which change is accepted. The hosts report
// their versions to each other in heartbeats, and a host fetches a newer document
// from a host that reports it, so that the reads of the table do not grow with
// the number of hosts times the number of changes.
//
// # Usage
//
//	m := &confs.Manager{Ownership: members, Table: t, Clock: clock, Log: logger, OnChange: apply}
//	go m.Run(ctx)
//	record, err := m.Apply(ctx, text) // nil error: accepted for good
//	hosts := m.Status()               // the version on each host
//
// # Concurrency
//
// One goroutine reads the table and fetches documents. The state is behind one
// mutex, which is never held during a call to another process.
package confs

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/config"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

const (
	// pollInterval is the interval of reading the current version from the table.
	// A host usually learns of a change sooner, from another host; the interval
	// bounds the delay of a host that receives no heartbeats.
	pollInterval = 5 * time.Second
	// callTimeout bounds a call to the table or another host.
	callTimeout = 2 * time.Second
	// maxStoredVersions is how many accepted documents stay in the table.
	maxStoredVersions = 1000

	currentKey hoist.RowKey = "config/current"
	docPrefix  hoist.RowKey = "config/doc/"
)

// Manager manages the configuration of one host: it follows the accepted version
// and submits changes. Set the exported fields before Run.
type Manager struct {
	Ownership hoist.Ownership
	Table     hoist.Table
	Clock     hoist.Clock
	Log       *slog.Logger
	// Cell returns the cell against which Apply checks documents; nil omits the
	// check.
	Cell func() config.Cell
	// OnChange is called with each document that comes into force, in the order of
	// versions. It may be nil.
	OnChange func(config.Document)

	once         sync.Once
	mu           sync.Mutex
	state        config.State
	isKnown      bool
	inForceSince time.Time
	hosts        map[hoist.HostID]HostVersion
	fetchSignal  chan struct{}
	// onChangeMu serialises the calls of OnChange.
	onChangeMu sync.Mutex
}

// HostVersion is the version that a host reported.
type HostVersion struct {
	Host    hoist.HostID
	Version hoist.ConfigVersion
	// Heard is when the host last reported its version.
	Heard time.Time
}

func (m *Manager) init() {
	m.once.Do(func() {
		m.hosts = make(map[hoist.HostID]HostVersion)
		m.fetchSignal = make(chan struct{}, 1)
	})
}

// Run keeps the configuration of the host up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.init()
	m.pollTable(ctx)
	timer := time.NewTicker(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.fetchSignal:
			m.fetchNewest(ctx)
		case <-timer.C:
			m.pollTable(ctx)
		}
	}
}

// Current returns the configuration in force on this host.
func (m *Manager) Current() config.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Current()
}

// IsKnown reports whether the host has learned, from the table or from another
// host, which version is in force. It must not serve before that.
func (m *Manager) IsKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isKnown
}

// Age returns how long the current version has been in force on this host.
func (m *Manager) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Sub(m.inForceSince)
}

// Status returns the version on each host that has reported one, and on this
// host, sorted by host id.
func (m *Manager) Status() []HostVersion {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []HostVersion{{m.Ownership.Self(), m.state.Current().Version, m.Clock.Now()}}
	for _, h := range m.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b HostVersion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// HandleHeartbeat records the version that another host reports in a heartbeat and
// requests a fetch if that version is newer.
func (m *Manager) HandleHeartbeat(h hoist.Heartbeat) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts[h.Host] = HostVersion{h.Host, h.Config, m.Clock.Now()}
	if h.Config > m.state.Current().Version {
		m.signalFetch()
	}
}

// DropHosts drops hosts that are no longer members.
func (m *Manager) DropHosts(isMember func(hoist.HostID) bool) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	for host := range m.hosts {
		if !isMember(host) {
			delete(m.hosts, host)
		}
	}
}

func (m *Manager) signalFetch() {
	select {
	case m.fetchSignal <- struct{}{}:
	default:
	}
}

// fetchNewest fetches the document of the highest reported version. If a host
// fails to answer, it tries the next one with a newer version than this host's.
func (m *Manager) fetchNewest(ctx context.Context) {
	for _, h := range m.newerHosts() {
		peer, ok := m.Ownership.Peer(h.Host)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		text, err := peer.Config(callCtx, h.Version)
		cancel()
		if err == nil {
			err = m.putInForce(ctx, string(text))
		}
		if err == nil {
			return
		}
		events.ConfigFetchFailed.Log(ctx, m.Log, "host", h.Host, "version", h.Version, "error", err)
	}
}

// newerHosts returns the hosts with a higher version than this host's, highest
// first.
func (m *Manager) newerHosts() []HostVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []HostVersion
	for _, h := range m.hosts {
		if h.Version > m.state.Current().Version {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b HostVersion) int {
		return cmp.Or(-cmp.Compare(a.Version, b.Version), cmp.Compare(a.Host, b.Host))
	})
	return out
}

// putInForce parses a document and puts it in force if it is newer than the
// current one.
func (m *Manager) putInForce(ctx context.Context, text string) error {
	doc, err := config.Parse(text)
	if err != nil {
		return err
	}
	m.onChangeMu.Lock()
	defer m.onChangeMu.Unlock()
	m.mu.Lock()
	m.isKnown = true
	isNew := m.state.Offer(config.Record{Version: doc.Version, ChangeID: doc.ChangeID, Text: text, Document: doc})
	if isNew {
		m.inForceSince = m.Clock.Now()
	}
	m.mu.Unlock()
	if !isNew {
		return nil
	}
	events.ConfigInForce.Log(ctx, m.Log, "version", doc.Version, "change-id", doc.ChangeID)
	if m.OnChange != nil {
		m.OnChange(doc)
	}
	return nil
}

// pollTable reads the current version from the table and puts it in force if it
// is newer. If the table cannot be read, it fetches the document from other hosts.
func (m *Manager) pollTable(ctx context.Context) {
	current, _, err := m.readCurrent(ctx)
	if err != nil {
		events.ConfigReadFailed.Log(ctx, m.Log, "error", err)
		m.fetchNewest(ctx)
		return
	}
	m.mu.Lock()
	m.isKnown = m.isKnown || current.Version == 0
	isCurrent := hoist.ConfigVersion(current.Version) <= m.state.Current().Version
	m.mu.Unlock()
	if isCurrent {
		return
	}
	text, err := m.readDocument(ctx, hoist.ConfigVersion(current.Version))
	if err == nil {
		err = m.putInForce(ctx, text)
	}
	if err != nil {
		events.ConfigReadFailed.Log(ctx, m.Log, "version", current.Version, "error", err)
	}
}

// readCurrent returns the content and the version of the row that names the
// accepted configuration; both are zero before the first change.
func (m *Manager) readCurrent(ctx context.Context) (wire.ConfigCurrent, hoist.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := m.Table.Read(ctx, currentKey)
	if err != nil || len(rows) == 0 {
		return wire.ConfigCurrent{}, 0, err
	}
	current, err := codec.DecodeTableRow[wire.ConfigCurrent](rows[0])
	return current, rows[0].Version, err
}

func docKey(version hoist.ConfigVersion) hoist.RowKey {
	return docPrefix + hoist.RowKey(fmt.Sprintf("%09d", version))
}

func (m *Manager) readDocument(ctx context.Context, version hoist.ConfigVersion) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := m.Table.Read(ctx, docKey(version))
	if err != nil {
		return "", err
	}
	if len(rows) == 0 {
		return "", merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("configuration version %d", version))
	}
	return string(rows[0].Value), nil
}

// Config returns the document in force, for another host, if its version is the
// given one or higher. Otherwise it returns hoist.ErrNotFound.
func (m *Manager) Config(version hoist.ConfigVersion) ([]byte, error) {
	current := m.Current()
	if current.Version < version || current.Version == 0 {
		return nil, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("configuration version %d", version))
	}
	return []byte(current.Text), nil
}

// ConflictError reports that another change was accepted first.
type ConflictError struct {
	// Current is the accepted document that the change is not based on.
	Current config.Document
	// Changes has the differences from the accepted document to the refused one.
	Changes []config.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d (change %s) was accepted first", e.Current.Version, e.Current.ChangeID)
}

// Unwrap returns hoist.ErrConflict.
func (e *ConflictError) Unwrap() error {
	return hoist.ErrConflict
}

// Apply checks a document and, if it is valid and based on the current version,
// makes it the accepted one. Its errors are config.ErrDocument, a
// *ConflictError, hoist.ErrUnavailable (not accepted) and
// hoist.ErrOutcomeUnknown (it may have been accepted). Applying the same
// document again after an unknown outcome is safe: the change id shows whether
// it was accepted.
func (m *Manager) Apply(ctx context.Context, text string) (config.Record, error) {
	m.init()
	doc, err := config.Parse(text)
	if err != nil {
		return config.Record{}, err
	}
	if m.Cell != nil {
		if err := doc.CheckCell(m.Cell()); err != nil {
			return config.Record{}, err
		}
	}
	record := config.Record{Version: doc.Version, ChangeID: doc.ChangeID, Text: text, Document: doc}
	current, row, err := m.readCurrent(ctx)
	if err != nil {
		return config.Record{}, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "the configuration was not accepted")
	}
	if hoist.ConfigVersion(current.Version)+1 != doc.Version {
		return m.resolve(ctx, record)
	}
	err = m.commit(ctx, record, row)
	if errors.Is(err, hoist.ErrConflict) {
		return m.resolve(ctx, record)
	}
	if err != nil {
		return config.Record{}, err
	}
	events.ConfigAccepted.Log(ctx, m.Log, "version", record.Version, "change-id", record.ChangeID)
	return record, m.putInForce(ctx, text)
}

func (m *Manager) commit(ctx context.Context, r config.Record, row hoist.RowVersion) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current := wire.ConfigCurrent{
		Version:  int(r.Version),
		ChangeId: string(r.ChangeID),
		Digest:   codec.Digest(hoist.DigestOf([]byte(r.Text))),
	}
	txn := hoist.Txn{
		ID:     hoist.TxnID(fmt.Sprintf("config/%s/%s", m.Ownership.Self(), r.ChangeID)),
		Checks: []hoist.Check{{Key: currentKey, Version: row}},
		Puts: []hoist.Put{
			{Key: currentKey, Value: codec.EncodeTableRow(current)},
			{Key: docKey(r.Version), Value: []byte(r.Text)},
		},
	}
	if r.Version > maxStoredVersions {
		txn.Puts = append(txn.Puts, hoist.Put{Key: docKey(r.Version - maxStoredVersions)})
	}
	return table.CommitResolved(ctx, m.Table, txn)
}

// resolve finds out, by the change id, whether a change that does not follow the
// current version was accepted earlier. If not, it returns a *ConflictError.
func (m *Manager) resolve(ctx context.Context, r config.Record) (config.Record, error) {
	text, err := m.readDocument(ctx, r.Version)
	if err == nil {
		if accepted, err := config.NewRecord(r.Version, text); err == nil && accepted.ChangeID == r.ChangeID && text == r.Text {
			return accepted, m.putInForce(ctx, text)
		}
	}
	m.pollTable(ctx)
	current := m.Current().Document
	return config.Record{}, &ConflictError{Current: current, Changes: config.Diff(current, r.Document)}
}

// History returns the accepted configurations that the table still has, oldest
// first.
func (m *Manager) History(ctx context.Context) ([]config.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := m.Table.Scan(ctx, docPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]config.Record, 0, len(rows))
	for _, row := range rows {
		doc, err := config.Parse(string(row.Value))
		if err != nil {
			return nil, merry.Prependf(err, "row %q", row.Key)
		}
		out = append(out, config.Record{Version: doc.Version, ChangeID: doc.ChangeID, Text: string(row.Value), Document: doc})
	}
	return out, nil
}
