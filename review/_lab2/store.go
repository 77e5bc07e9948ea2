package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store.
const (
	txTime      = 3 * time.Millisecond
	answerTime  = 4 * time.Millisecond // of a read
	pageBytes   = 1 << 20              // of an answer
	maxPageRows = 500
	maxEntries  = 100
)

// row is one row of the store.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store. It serves one transaction after the
// other and loses nothing.
type store struct {
	start time.Time

	txMu sync.Mutex // one transaction at a time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowID]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// serve serves the store until the listener is closed.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	_ = http.Serve(l, mux)
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// apply applies one transaction. The caller holds mu.
func (s *store) apply(puts, removes []row) {
	s.ver++
	for _, r := range puts {
		r.Ver, r.Tombstone = s.ver, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Puts, Remove []row }
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(tx.Expected)+len(tx.Puts)+len(tx.Remove) > maxEntries {
		http.Error(w, "too many entries", http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row(nil), tx.Puts...), tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "not writable", http.StatusForbidden)
			return
		}
		if len(p.Value) > 65536 {
			http.Error(w, "row too large", http.StatusRequestEntityTooLarge)
			return
		}
	}
	s.txMu.Lock()
	time.Sleep(txTime)
	s.mu.Lock()
	failed := false
	current := []row{}
	for _, e := range tx.Expected {
		have, ok := s.rows[e.id()]
		if !ok {
			have = row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		failed = failed || have.Ver != e.Ver
		current = append(current, have)
	}
	if !failed {
		s.apply(tx.Puts, tx.Remove)
	}
	ver := s.ver
	s.mu.Unlock()
	s.txMu.Unlock()
	if failed {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "Ver": ver})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"Ver": ver})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["NowMs"] = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("Table"), q.Get("part"), q.Get("From"), q.Get("To")
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	rows := []row{}
	for id, x := range s.rows {
		if id.table == table && id.part == part && id.key >= from && (to == "" || id.key < to) {
			rows = append(rows, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size, n := 0, 0
	for n < len(rows) && n < limit {
		if size += len(rows[n].Value)*4/3 + 100; size > pageBytes && n > 0 {
			break
		}
		n++
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:n], "HasMore": n < len(rows), "Ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	t := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, x := range s.history[i:] {
			if x.Table == q.Get("Table") {
				rows = append(rows, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "Ver": ver})
			return
		}
		select {
		case <-changed:
		case <-t.C:
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "Ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	seen := make(map[string]bool)
	for id := range s.rows {
		if id.table == q.Get("Table") && id.part > q.Get("After") {
			seen[id.part] = true
		}
	}
	s.mu.Unlock()
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	s.answer(w, http.StatusOK, map[string]any{"parts": parts})
}
