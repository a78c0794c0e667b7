// Package spread stores the configuration in the platform's table and spreads
// it among the hosts. The table decides which change is accepted; the hosts
// tell each other their versions in heartbeats and fetch a newer document from
// the host that they heard of it from, so that reads of the table do not grow
// with hosts times changes.
//
// # Usage
//
//	k := &spread.Manager{Own: members, Table: t, Clock: clock, Log: logger, OnChange: apply}
//	go k.Run(ctx)
//	record, err := k.Apply(ctx, text) // nil error: accepted for good
//	hosts := k.Status()               // the version on each host
//
// # Concurrency
//
// One goroutine reads the table and fetches documents. The state is behind one
// mutex, which is never held during a call to another process.
package spread

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
	// pollEvery is the period of reading the current version from the table.
	// News usually comes from another host sooner; this bounds the delay of a
	// host that hears from none.
	pollEvery = 5 * time.Second
	// callTimeout bounds a call to the table or another host.
	callTimeout = 2 * time.Second
	// keepVersions is how many accepted documents stay in the table.
	keepVersions = 1000

	currentKey hoist.RowKey = "config/current"
	docPrefix  hoist.RowKey = "config/doc/"
)

// Manager keeps the configuration of one host. Set the exported fields before
// Run.
type Manager struct {
	Own   hoist.Ownership
	Table hoist.Table
	Clock hoist.Clock
	Log   *slog.Logger
	// Cell returns what documents are checked against.
	Cell func() config.Cell
	// OnChange receives each document that comes into force, in the order of
	// versions.
	OnChange func(config.Document)

	once    sync.Once
	mu      sync.Mutex
	state   config.State
	isKnown bool
	since   time.Time
	hosts   map[hoist.HostID]HostVersion
	news    chan struct{}
	// applying serialises the calls of OnChange.
	applying sync.Mutex
}

// HostVersion is the version that a host reported.
type HostVersion struct {
	Host    hoist.HostID
	Version hoist.ConfigVersion
	// Heard is when the host was last heard from.
	Heard time.Time
}

func (k *Manager) init() {
	k.once.Do(func() {
		k.hosts = make(map[hoist.HostID]HostVersion)
		k.news = make(chan struct{}, 1)
	})
}

// Run keeps the host's version up to date until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	k.init()
	k.poll(ctx)
	timer := time.NewTicker(pollEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.news:
			k.fetchNewest(ctx)
		case <-timer.C:
			k.poll(ctx)
		}
	}
}

// Current returns the version in force on this host.
func (k *Manager) Current() config.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Current()
}

// IsKnown reports whether the host knows which version is in force: from the
// table or from another host. Before that it does not serve.
func (k *Manager) IsKnown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isKnown
}

// Age returns how long the current version has been in force on this host.
func (k *Manager) Age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Clock.Now().Sub(k.since)
}

// Status returns the version on each host that was heard from, this host
// included, in the order of ids.
func (k *Manager) Status() []HostVersion {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	out := []HostVersion{{k.Own.Self(), k.state.Current().Version, k.Clock.Now()}}
	for _, h := range k.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b HostVersion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// HandleHeartbeat records the version that another host reports and starts to fetch it
// if it is newer.
func (k *Manager) HandleHeartbeat(h hoist.Heartbeat) {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts[h.Host] = HostVersion{h.Host, h.Config, k.Clock.Now()}
	if h.Config > k.state.Current().Version {
		k.wake()
	}
}

// Forget drops hosts that are no longer members.
func (k *Manager) Forget(isMember func(hoist.HostID) bool) {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	for host := range k.hosts {
		if !isMember(host) {
			delete(k.hosts, host)
		}
	}
}

func (k *Manager) wake() {
	select {
	case k.news <- struct{}{}:
	default:
	}
}

// fetchNewest fetches the document of the highest version heard of, trying the
// hosts that have it in turn.
func (k *Manager) fetchNewest(ctx context.Context) {
	for _, h := range k.newer() {
		peer, ok := k.Own.Peer(h.Host)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		text, err := peer.Config(callCtx, h.Version)
		cancel()
		if err == nil {
			err = k.offer(ctx, string(text))
		}
		if err == nil {
			return
		}
		events.ConfigFetchFailed.Log(ctx, k.Log, "host", h.Host, "version", h.Version, "error", err)
	}
}

// newer returns the hosts with a version above this host's, highest first.
func (k *Manager) newer() []HostVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []HostVersion
	for _, h := range k.hosts {
		if h.Version > k.state.Current().Version {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b HostVersion) int {
		return cmp.Or(-cmp.Compare(a.Version, b.Version), cmp.Compare(a.Host, b.Host))
	})
	return out
}

// offer puts a document in force if it is newer.
func (k *Manager) offer(ctx context.Context, text string) error {
	doc, err := config.Parse(text)
	if err != nil {
		return err
	}
	k.applying.Lock()
	defer k.applying.Unlock()
	k.mu.Lock()
	k.isKnown = true
	isNew := k.state.Offer(config.Record{Version: doc.Version, ChangeID: doc.ChangeID, Text: text, Document: doc})
	if isNew {
		k.since = k.Clock.Now()
	}
	k.mu.Unlock()
	if !isNew {
		return nil
	}
	events.ConfigInForce.Log(ctx, k.Log, "version", doc.Version, "change-id", doc.ChangeID)
	if k.OnChange != nil {
		k.OnChange(doc)
	}
	return nil
}

// poll reads the current version from the table.
func (k *Manager) poll(ctx context.Context) {
	current, _, err := k.readCurrent(ctx)
	if err != nil {
		events.ConfigReadFailed.Log(ctx, k.Log, "error", err)
		k.fetchNewest(ctx)
		return
	}
	k.mu.Lock()
	k.isKnown = k.isKnown || current.Version == 0
	isCurrent := hoist.ConfigVersion(current.Version) <= k.state.Current().Version
	k.mu.Unlock()
	if isCurrent {
		return
	}
	text, err := k.readDocument(ctx, hoist.ConfigVersion(current.Version))
	if err == nil {
		err = k.offer(ctx, text)
	}
	if err != nil {
		events.ConfigReadFailed.Log(ctx, k.Log, "version", current.Version, "error", err)
	}
}

// readCurrent returns the row that names the accepted version, and its row
// version; both are zero before the first change.
func (k *Manager) readCurrent(ctx context.Context) (wire.ConfigCurrent, hoist.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := k.Table.Read(ctx, currentKey)
	if err != nil || len(rows) == 0 {
		return wire.ConfigCurrent{}, 0, err
	}
	current, err := codec.DecodeValue[wire.ConfigCurrent](rows[0])
	return current, rows[0].Version, err
}

func docKey(version hoist.ConfigVersion) hoist.RowKey {
	return docPrefix + hoist.RowKey(fmt.Sprintf("%09d", version))
}

func (k *Manager) readDocument(ctx context.Context, version hoist.ConfigVersion) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := k.Table.Read(ctx, docKey(version))
	if err != nil {
		return "", err
	}
	if len(rows) == 0 {
		return "", merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("configuration version %d", version))
	}
	return string(rows[0].Value), nil
}

// Config returns the document in force for another host, if it is of the given
// version or higher.
func (k *Manager) Config(version hoist.ConfigVersion) ([]byte, error) {
	current := k.Current()
	if current.Version < version || current.Version == 0 {
		return nil, merry.Wrap(hoist.ErrNotFound, merry.PrependMessagef("configuration version %d", version))
	}
	return []byte(current.Text), nil
}

// ConflictError tells that another change was accepted first.
type ConflictError struct {
	// Current is the accepted document that the change is not based on.
	Current config.Document
	// Changes leads from the accepted document to the refused one.
	Changes []config.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d (change %s) was accepted first", e.Current.Version, e.Current.ChangeID)
}

// Unwrap makes the error a hoist.ErrConflict.
func (e *ConflictError) Unwrap() error {
	return hoist.ErrConflict
}

// Apply checks a document and, if it is valid and based on the current version,
// makes it the accepted one. Its errors are config.ErrDocument, a
// *ConflictError, hoist.ErrUnavailable (not accepted) and
// hoist.ErrOutcomeUnknown (it may have been accepted). Applying the same
// document again after an unknown outcome is safe: the change id tells whether
// it was accepted.
func (k *Manager) Apply(ctx context.Context, text string) (config.Record, error) {
	k.init()
	doc, err := config.Parse(text)
	if err != nil {
		return config.Record{}, err
	}
	if k.Cell != nil {
		if err := doc.CheckCell(k.Cell()); err != nil {
			return config.Record{}, err
		}
	}
	record := config.Record{Version: doc.Version, ChangeID: doc.ChangeID, Text: text, Document: doc}
	current, row, err := k.readCurrent(ctx)
	if err != nil {
		return config.Record{}, hoist.ConvertErrorf(hoist.ErrUnavailable, err, "the configuration was not accepted")
	}
	if hoist.ConfigVersion(current.Version)+1 != doc.Version {
		return k.resolve(ctx, record)
	}
	err = k.commit(ctx, record, row)
	if errors.Is(err, hoist.ErrConflict) {
		return k.resolve(ctx, record)
	}
	if err != nil {
		return config.Record{}, err
	}
	events.ConfigAccepted.Log(ctx, k.Log, "version", record.Version, "change-id", record.ChangeID)
	return record, k.offer(ctx, text)
}

func (k *Manager) commit(ctx context.Context, r config.Record, row hoist.RowVersion) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current := wire.ConfigCurrent{
		Version:  int(r.Version),
		ChangeId: string(r.ChangeID),
		Digest:   codec.Digest(hoist.DigestOf([]byte(r.Text))),
	}
	txn := hoist.Txn{
		ID:     hoist.TxnID(fmt.Sprintf("config/%s/%s", k.Own.Self(), r.ChangeID)),
		Checks: []hoist.Check{{Key: currentKey, Version: row}},
		Puts: []hoist.Put{
			{Key: currentKey, Value: codec.EncodeValue(current)},
			{Key: docKey(r.Version), Value: []byte(r.Text)},
		},
	}
	if r.Version > keepVersions {
		txn.Puts = append(txn.Puts, hoist.Put{Key: docKey(r.Version - keepVersions)})
	}
	return table.CommitResolved(ctx, k.Table, txn)
}

// resolve finds out whether a change that does not follow the current version
// was accepted earlier, by its change id, or lost to another.
func (k *Manager) resolve(ctx context.Context, r config.Record) (config.Record, error) {
	text, err := k.readDocument(ctx, r.Version)
	if err == nil {
		if accepted, err := config.NewRecord(r.Version, text); err == nil && accepted.ChangeID == r.ChangeID && text == r.Text {
			return accepted, k.offer(ctx, text)
		}
	}
	k.poll(ctx)
	current := k.Current().Document
	return config.Record{}, &ConflictError{Current: current, Changes: config.Diff(current, r.Document)}
}

// History returns the accepted records that the table keeps, oldest first.
func (k *Manager) History(ctx context.Context) ([]config.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := k.Table.Scan(ctx, docPrefix)
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
