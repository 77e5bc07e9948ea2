package platform

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Faults are failures for a Standin to simulate. The zero value simulates none.
type Faults struct {
	Outage      bool          `json:"outage"`       // every operation fails before it takes effect
	Delay       time.Duration `json:"delay"`        // nanoseconds added to every operation
	LostReplies int           `json:"lost_replies"` // this many commits take effect, then fail
}

const (
	maxHistory = 10000 // changes
	pageRows   = 500   // in one page of a table
)

var errOutage = errors.New("outage")

var errLostReply = errors.New("reply lost")

// Standin is an in-memory platform. Its methods are safe for concurrent use.
type Standin struct {
	mu          sync.Mutex
	revision    uint64
	rows        map[string]Row
	history     []Row         // changes after compactedTo, in order
	compactedTo uint64        // changes up to this revision are no longer in history
	changed     chan struct{} // closed and replaced at each change
	objects     map[string][]byte
	faults      Faults
	reads       int
	writes      int
}

// NewStandin returns an empty platform.
func NewStandin() *Standin {
	return &Standin{
		rows:    make(map[string]Row),
		objects: make(map[string][]byte),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the simulated failures.
func (s *Standin) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the number of reads and commits served.
func (s *Standin) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Store returns the stand-in's operations for use in the same process.
func (s *Standin) Store() Store {
	return Store{
		Get:       s.get,
		Scan:      s.scan,
		Commit:    s.commit,
		ReadPage:  s.readPage,
		Watch:     s.watch,
		PutObject: s.putObject,
		GetObject: s.getObject,
	}
}

// applyFaults waits for the configured delay, and fails during an outage.
func (s *Standin) applyFaults(ctx context.Context, op string) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return &UnavailableError{Op: op, MaybeApplied: true, Cause: ctx.Err()}
		case <-t.C:
		}
	}
	if f.Outage {
		return &UnavailableError{Op: op, Cause: errOutage}
	}
	return nil
}

func (s *Standin) get(ctx context.Context, key string) (Row, error) {
	if err := s.applyFaults(ctx, "get"); err != nil {
		return Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	row, ok := s.rows[key]
	if !ok {
		return Row{Key: key}, nil
	}
	return row, nil
}

func (s *Standin) scan(ctx context.Context, prefix string) ([]Row, error) {
	if err := s.applyFaults(ctx, "scan"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var rows []Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, nil
}

func (s *Standin) readPage(ctx context.Context, table, after string) (Page, error) {
	if err := s.applyFaults(ctx, "read page"); err != nil {
		return Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	p := Page{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if !strings.HasPrefix(key, table+"/") || key <= after {
			continue
		}
		if p.More = len(p.Rows) == pageRows; p.More {
			break
		}
		p.Rows = append(p.Rows, s.rows[key])
	}
	return p, nil
}

func (s *Standin) commit(ctx context.Context, t Txn) (uint64, error) {
	if err := s.applyFaults(ctx, "commit"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if rows := s.failedConditions(t.Conditions); len(rows) > 0 {
		return 0, &ConflictError{Rows: rows}
	}
	s.applyWrites(t.Writes)
	if s.faults.LostReplies > 0 {
		s.faults.LostReplies--
		return 0, &UnavailableError{Op: "commit", MaybeApplied: true, Cause: errLostReply}
	}
	return s.revision, nil
}

func (s *Standin) failedConditions(conditions []Condition) []Row {
	var rows []Row
	for _, c := range conditions {
		row, ok := s.rows[c.Key]
		if !ok {
			row = Row{Key: c.Key}
		}
		if row.Revision != c.Revision {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Standin) applyWrites(writes []Write) {
	s.revision++
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, w.Key)
			s.history = append(s.history, Row{Key: w.Key, Revision: s.revision, Deleted: true})
			continue
		}
		row := Row{Key: w.Key, Revision: s.revision, Value: slices.Clone(w.Value)}
		s.rows[w.Key] = row
		s.history = append(s.history, row)
	}
	if n := len(s.history); n > maxHistory {
		s.compactedTo = s.history[n/2].Revision
		s.history = slices.Clone(s.history[n/2+1:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the change history of all tables.
func (s *Standin) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo, s.history = s.revision, nil
}

func (s *Standin) watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
	if err := s.applyFaults(ctx, "watch"); err != nil {
		return Changes{}, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		c, changed, err := s.changes(table, after)
		if err != nil || after == 0 || len(c.Rows) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-t.C:
			return c, nil
		case <-ctx.Done():
			return Changes{}, &UnavailableError{Op: "watch", Cause: ctx.Err()}
		}
	}
}

// changes returns the rows of a table that changed after a revision, and a
// channel that is closed at the next change of any table.
func (s *Standin) changes(table string, after uint64) (Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if after != 0 && after < s.compactedTo {
		return Changes{}, nil, &HistoryLostError{Table: table, After: after}
	}
	c := Changes{Revision: s.revision}
	prefix := table + "/"
	if after == 0 {
		for _, key := range slices.Sorted(maps.Keys(s.rows)) {
			if strings.HasPrefix(key, prefix) {
				c.Rows = append(c.Rows, s.rows[key])
			}
		}
		return c, nil, nil
	}
	for _, row := range s.history {
		if row.Revision > after && strings.HasPrefix(row.Key, prefix) {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, s.changed, nil
}

func (s *Standin) putObject(ctx context.Context, key string, data []byte) error {
	if err := s.applyFaults(ctx, "put object"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = slices.Clone(data)
	return nil
}

func (s *Standin) getObject(ctx context.Context, key string) ([]byte, error) {
	if err := s.applyFaults(ctx, "get object"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[key]
	if !ok {
		return nil, &NotFoundError{Key: key}
	}
	return data, nil
}
