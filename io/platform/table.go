package platform

import (
	"context"
	"time"
)

// Page is a part of a table, ordered by key. The rows are those of one moment.
type Page struct {
	Rows     []Row
	Revision uint64 // the store's when it read the page
	More     bool   // there are rows behind the last one
}

// TableReader reads a table in pages. After a failure it continues behind the last page
// that has arrived, so that a read ends however large the table is.
type TableReader struct {
	Store       Store
	Table       string
	IdleTimeout time.Duration // ends the read of a page of which nothing arrives

	// Changes are the rows read so far. Its revision is that of the first page: a watch
	// that begins there misses nothing of what has changed since, in any page.
	Changes Changes
	Pages   int
}

// Next reads the next page and reports whether it is the last one.
func (r *TableReader) Next(ctx context.Context) (last bool, err error) {
	after := ""
	if n := len(r.Changes.Rows); n > 0 {
		after = r.Changes.Rows[n-1].Key
	}
	ctx, cancel := WithIdleTimeout(ctx, r.IdleTimeout, r.IdleTimeout)
	defer cancel()
	p, err := r.Store.ReadPage(ctx, r.Table, after)
	if err != nil {
		return false, err
	}
	if p.More && len(p.Rows) == 0 {
		return false, &EmptyPageError{Table: r.Table, After: after}
	}
	if r.Pages == 0 {
		r.Changes.Revision = p.Revision
	}
	r.Pages++
	r.Changes.Rows = append(r.Changes.Rows, p.Rows...)
	return !p.More, nil
}
