package main

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The limits of the store, as in the settings of a process.
const (
	rowBytes       = 65536
	maxEntries     = 100
	maxTxnBytes    = 1 << 20
	maxRowsPerPage = 500
	txnTime        = 3 * time.Millisecond
	answerTime     = time.Millisecond
	historyTime    = 20 * time.Second
	writesPerSec   = 800
	readsPerSec    = 2000
)

// rowID identifies a row.
type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row on the wire.
type row struct {
	rowID
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

type transaction struct {
	Expect []row   `json:"expected-rev"`
	Writes []row   `json:"writes"`
	Remove []rowID `json:"remove"`
	Across bool    `json:"across"`
}

// store is the platform's metadata store. It keeps its rows in memory.
type store struct {
	log *record

	mu      sync.Mutex
	rows    map[rowID]row
	version uint64
	history []row
	// oldest is the version after which the history begins.
	oldest  uint64
	changed chan struct{}
	// downShare is the share of the named parts that refuse calls with 503.
	downShare float64
	// busy serialises the transactions of each part.
	busy map[string]*sync.Mutex
	// second is the second that writes and reads are counted in.
	second        int64
	writes, reads int
}

func newStore(log *record) *store {
	return &store{
		log: log, rows: make(map[rowID]row), changed: make(chan struct{}), busy: make(map[string]*sync.Mutex),
	}
}

// setDown makes a share of the named parts refuse calls; 0 makes all serve again.
func (s *store) setDown(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downShare = share
}

// put writes a row as the operator or an executor does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Writes: []row{{rowID: rowID{Table: table, Key: key}, Value: text}}})
}

// drop removes a row as the platform does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []rowID{{Table: table, Key: key}}})
}

// apply applies a transaction if its expectations hold. s.mu must be held.
func (s *store) apply(t transaction) bool {
	for _, e := range t.Expect {
		if s.rows[e.rowID].Version != e.Version {
			return false
		}
	}
	s.version++
	now := time.Now()
	for _, w := range t.Writes {
		w.Version, w.at = s.version, now
		s.rows[w.rowID] = w
		s.history = append(s.history, w)
	}
	for _, id := range t.Remove {
		if _, ok := s.rows[id]; ok {
			delete(s.rows, id)
			s.history = append(s.history, row{rowID: id, Version: s.version, Deleted: true, at: now})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.oldest = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// isOverRate counts a call, and reports whether it is beyond the rate of the store.
func (s *store) isOverRate(isWrite bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if isWrite {
		s.writes++
		return s.writes > writesPerSec
	}
	s.reads++
	return s.reads > readsPerSec
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isOverRate(r.Method == http.MethodPost) {
		s.log.printf("store: %s %s is over the rate -> 429", r.Method, r.URL.Path)
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/api/rows-tx":
		s.serveTxn(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/api/rows-get":
		s.serveGet(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/api/rows-feed":
		s.serveFeed(w, r)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

// isPartDown reports whether a part is among those that are down, by a hash of its name.
func (s *store) isPartDown(part string) bool {
	if part == "" {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(part))
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(h.Sum32()%100) < 100*s.downShare
}

// check returns the status for a transaction that the store refuses, or 0.
func (s *store) check(t transaction, size int) (status int, parts []string) {
	for _, list := range [][]row{t.Expect, t.Writes} {
		for _, e := range list {
			parts = append(parts, e.Part)
		}
	}
	for _, id := range t.Remove {
		parts = append(parts, id.Part)
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	if size > maxTxnBytes || len(t.Expect)+len(t.Writes)+len(t.Remove) > maxEntries || (len(parts) > 1 && !t.Across) {
		return http.StatusBadRequest, parts
	}
	for _, e := range t.Writes {
		if e.Table == "op" || e.Table == "servers" {
			return http.StatusForbidden, parts
		}
		if len(e.Value) > rowBytes {
			s.log.printf("store: row %s/%s/%s of %d bytes refused, at most %d", e.Table, e.Part, e.Key, len(e.Value), rowBytes)
			return http.StatusBadRequest, parts
		}
	}
	for _, part := range parts {
		if s.isPartDown(part) {
			return http.StatusServiceUnavailable, parts
		}
	}
	return 0, parts
}

func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[part] == nil {
		s.busy[part] = &sync.Mutex{}
	}
	return s.busy[part]
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || json.Unmarshal(text, &t) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	status, parts := s.check(t, len(text))
	if status != 0 {
		reply(w, status, map[string]any{})
		return
	}
	// The parts are sorted, so that transactions cannot block each other.
	took := txnTime
	if len(parts) > 1 {
		took = 2 * txnTime
	}
	for _, p := range parts {
		l := s.partLock(p)
		l.Lock()
		defer l.Unlock()
	}
	time.Sleep(took)
	s.mu.Lock()
	isApplied, version := s.apply(t), s.version
	current := []row{}
	if !isApplied {
		for _, e := range t.Expect {
			if found, ok := s.rows[e.rowID]; ok {
				current = append(current, found)
			}
		}
	}
	s.mu.Unlock()
	if !isApplied {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ver": version, "now-ms": time.Now().UnixMilli()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if s.isPartDown(q.Get("part")) {
		reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	time.Sleep(answerTime)
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRowsPerPage {
		limit = maxRowsPerPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for id, found := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("to") == "" || id.Key < q.Get("to")) {
			out = append(out, found)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	hasMore := len(out) > limit
	out = out[:min(len(out), limit)]
	reply(w, http.StatusOK, map[string]any{"rows": out, "has-more": hasMore, "ver": s.version, "now-ms": time.Now().UnixMilli()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		isCut, version, changed := after < s.oldest, s.version, s.changed
		out := []row{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(c row, v uint64) int { return cmp.Compare(c.Version, v) })
		for _, c := range s.history[first:] {
			if c.Table == q.Get("table") {
				out = append(out, c)
			}
		}
		s.mu.Unlock()
		if len(out) > maxRowsPerPage {
			// All rows of a transaction are in one response.
			n := maxRowsPerPage
			for n < len(out) && out[n].Version == out[n-1].Version {
				n++
			}
			out = out[:n]
			version = out[n-1].Version
		}
		switch {
		case isCut:
			reply(w, http.StatusGone, nil)
			return
		case len(out) > 0 || ctx.Err() != nil:
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": version, "now-ms": time.Now().UnixMilli()})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		// If this fails the connection is closed, and the caller cannot be told.
		_ = json.NewEncoder(w).Encode(body)
	}
}
