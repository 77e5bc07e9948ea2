package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the store, from the settings of a small deployment.
const (
	txTime     = 3 * time.Millisecond
	answerTime = 15 * time.Millisecond // 4 ms, and 5.4 ms each way to another zone
	rowBytes   = 65536
	pageRows   = 500
	pageSize   = 1 << 20
)

type rowID struct{ table, part, key string }

type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

// store is the platform's store. Each process reaches it at an address of its own, so
// that the store can turn single processes away.
type store struct {
	mu      sync.Mutex
	txMu    sync.Mutex // a part handles one transaction after another
	ver     uint64
	rows    map[rowID]row
	log     []row
	changed chan struct{}
	began   time.Time
}

// Modes of a process's access to the store.
const (
	modeOpen   int32 = iota
	modeBusy         // 503: nothing was done
	modeSilent       // no response
)

type access struct {
	addr string
	mode atomic.Int32
	view func(row) row // how the process reads rows; nil as they are
}

// see returns rows as the process reads them.
func (a *access) see(rows []row) []row {
	if a.view == nil {
		return rows
	}
	out := make([]row, len(rows))
	for i, r := range rows {
		out[i] = a.view(r)
	}
	return out
}

func newStore() *store {
	return &store{rows: make(map[rowID]row), changed: make(chan struct{}), began: time.Now()}
}

// listen serves the store at an address.
func (s *store) listen(addr string, view func(row) row, mbps int) *access {
	a := &access{addr: addr, view: view}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.tx(a, w, r) })
	mux.HandleFunc("GET /-/rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(a, w, r) })
	mux.HandleFunc("GET /-/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(a, w, r) })
	l, err := net.Listen("tcp", addr)
	check(err)
	l = &throttledListener{Listener: l, link: &throttle{mbps: mbps}}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch a.mode.Load() {
			case modeBusy:
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			case modeSilent:
				<-r.Context().Done()
				return
			}
			time.Sleep(answerTime)
			mux.ServeHTTP(w, r)
		}))
	}()
	return a
}

func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

type txBody struct {
	Expected, Puts, Remove []row
}

func (s *store) tx(a *access, w http.ResponseWriter, r *http.Request) {
	var t txBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(t.Expected)+len(t.Puts)+len(t.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if len(p.Value) > rowBytes || p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.txMu.Lock()
	defer s.txMu.Unlock()
	time.Sleep(txTime)
	ver, current, ok := s.apply(t)
	if !ok {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": a.see(current), "Ver": ver, "NowMs": s.now()})
		return
	}
	answer(w, http.StatusOK, map[string]any{"Ver": ver, "NowMs": s.now()})
}

// apply applies a transaction, or returns the current rows of its conditions.
func (s *store) apply(t txBody) (ver uint64, current []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	current = []row{}
	for _, e := range t.Expected {
		now, exists := s.rows[rowID{e.Table, e.Part, e.Key}]
		if now.Ver != e.Ver {
			ok = false
		}
		if exists {
			current = append(current, now)
		}
	}
	if !ok {
		return s.ver, current, false
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver, p.Tombstone = s.ver, false
		s.rows[rowID{p.Table, p.Part, p.Key}] = p
		s.log = append(s.log, p)
	}
	for _, p := range t.Remove {
		id := rowID{p.Table, p.Part, p.Key}
		if _, exists := s.rows[id]; !exists {
			continue
		}
		delete(s.rows, id)
		s.log = append(s.log, row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, nil, true
}

// put writes a row of the operator.
func (s *store) put(table, key string, v any) {
	data, err := json.Marshal(v)
	check(err)
	s.apply(txBody{Puts: []row{{Table: table, Key: key, Value: data}}})
}

func (s *store) get(a *access, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("From"), q.Get("To")
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n < limit {
		limit = n
	}
	s.mu.Lock()
	rows := []row{}
	for id, x := range s.rows {
		if id.table == q.Get("Table") && id.part == q.Get("part") && id.key >= from && (to == "" || id.key < to) {
			rows = append(rows, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	n, size := 0, 0
	for n < len(rows) && n < limit {
		if size += len(rows[n].Value) * 4 / 3; size > pageSize && n > 0 {
			break
		}
		n++
	}
	answer(w, http.StatusOK, map[string]any{"rows": a.see(rows[:n]), "HasMore": n < len(rows), "Ver": ver, "NowMs": s.now()})
}

func (s *store) feed(a *access, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Ver > after })
		for _, x := range s.log[first:] {
			if x.Table == q.Get("Table") {
				rows = append(rows, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			answer(w, http.StatusOK, map[string]any{"rows": a.see(rows), "Ver": ver, "NowMs": s.now()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"rows": a.see(rows), "Ver": ver, "NowMs": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}
