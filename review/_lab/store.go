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

// txTime is how long a transaction or a read takes.
const txTime = 4 * time.Millisecond

// row is a row of the platform's store. Value is base64 and is kept as it came.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     string `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

type transaction struct {
	Expected, Puts, Remove []row
}

// txFault decides what happens to a transaction of a node: it is applied after
// the delay, and answered or not.
type txFault func(node string, t *transaction) (delay time.Duration, unanswered bool)

// store is a stand-in of the platform's store.
type store struct {
	rec   *record
	start time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row // in order of Ver
	ver     uint64
	changed chan struct{} // closed at the next change
	fault   txFault       // may be nil
}

func newStore(rec *record) *store {
	return &store{rec: rec, start: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// setFault replaces the fault of transactions.
func (s *store) setFault(f txFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// door is the listener of one process. It knows the channels of that process.
type door struct {
	net.Listener
	node string

	view func(r row) row // changes the rows that the process reads; may be nil

	mu    sync.Mutex
	chans map[string]*channel // by remote address
}

// channel is a channel that can go silent: nothing more is delivered in either
// direction, and it is not reset.
type channel struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
	call   atomic.Value // the call that is being served, a string
}

func (c *channel) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.silent.Load() {
		if err != nil { // the process has closed the channel
			return 0, err
		}
		n, err = c.Conn.Read(p)
	}
	return n, err
}

func (c *channel) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close keeps a silent channel open towards the process.
func (c *channel) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (d *door) Accept() (net.Conn, error) {
	nc, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &channel{Conn: nc, closed: make(chan struct{})}
	d.mu.Lock()
	d.chans[nc.RemoteAddr().String()] = c
	d.mu.Unlock()
	return c, nil
}

// silence makes the channels silent on which a call is being served that matches.
func (d *door) silence(matches func(call string) bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, c := range d.chans {
		if call, _ := c.call.Load().(string); call != "" && matches(call) && !c.silent.Load() {
			c.silent.Store(true)
			n++
		}
	}
	return n
}

// viewOf returns the rows as the process reads them.
func (d *door) viewOf(rows []row) []row {
	if d.view == nil {
		return rows
	}
	for i := range rows {
		rows[i] = d.view(rows[i])
	}
	return rows
}

// open serves the store to one process on an address of its own.
func (s *store) open(node string) (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{Listener: l, node: node, chans: make(map[string]*channel)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.serveTx(node, w, r) })
	mux.HandleFunc("GET /-/rows-get", func(w http.ResponseWriter, r *http.Request) { s.serveGet(d, w, r) })
	mux.HandleFunc("GET /-/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.serveFeed(d, w, r) })
	go func() {
		_ = http.Serve(d, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.mu.Lock()
			c := d.chans[r.RemoteAddr]
			d.mu.Unlock()
			c.call.Store(r.Method + " " + r.URL.RequestURI())
			defer c.call.Store("")
			mux.ServeHTTP(w, r)
		}))
	}()
	return d, nil
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "Ver": ver, "HasMore": false, "NowMs": time.Since(s.start).Milliseconds(),
	})
}

func (s *store) serveTx(node string, w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	var delay time.Duration
	unanswered := false
	if fault != nil {
		delay, unanswered = fault(node, &t)
	}
	if unanswered {
		time.AfterFunc(delay, func() {
			if status, _, _ := s.apply(&t); status == http.StatusOK {
				s.rec.add("store: a write of %s is applied %.1f s after it was sent and never answered: %s", node, delay.Seconds(), describe(&t))
			}
		})
		<-r.Context().Done() // the channel delivers nothing further
		panic(http.ErrAbortHandler)
	}
	time.Sleep(txTime)
	status, rows, ver := s.apply(&t)
	s.answer(w, status, rows, ver)
}

// describe names the job rows that a transaction inserts.
func describe(t *transaction) string {
	text := ""
	for _, p := range t.Puts {
		text += p.Table + "/" + p.Key + " "
	}
	return text
}

// apply applies all entries of a transaction, or none.
func (s *store) apply(t *transaction) (status int, rows []row, ver uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	for _, e := range t.Expected {
		present, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			rows = append(rows, present)
		}
		holds = holds && present.Ver == e.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, rows, s.ver
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver, p.Tombstone = s.ver, false
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
		s.history = append(s.history, p)
	}
	for _, p := range t.Remove {
		k := rowKey{p.Table, p.Part, p.Key}
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, nil, s.ver
}

func (s *store) serveGet(d *door, w http.ResponseWriter, r *http.Request) {
	time.Sleep(txTime)
	q := r.URL.Query()
	from, to := q.Get("From"), q.Get("To")
	s.mu.Lock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, d.viewOf(rows), ver)
}

func (s *store) serveFeed(d *door, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var rows []row
		for _, v := range s.history {
			if v.Table == q.Get("Table") && v.Ver > after {
				rows = append(rows, v)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			time.Sleep(txTime)
			s.answer(w, http.StatusOK, d.viewOf(rows), ver)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, nil, ver)
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
