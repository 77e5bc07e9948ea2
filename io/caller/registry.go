package caller

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Times of the rows by which entries find each other.
const (
	registryInterval = 5 * time.Second
	registrySilence  = 30 * time.Second // after which an entry counts as gone
	registryLifetime = 10 * time.Minute // after which its row is deleted
	registryPrefix   = "entry/"
)

// knownEntry is another entry. changed is the time, by this process's clock,
// at which its row was last seen to change.
type knownEntry struct {
	revision uint64
	changed  time.Time
	seed     bool // named in the settings
}

// silent reports whether the entry counts as gone.
func (k *knownEntry) silent(now time.Time) bool {
	return !k.seed && now.Sub(k.changed) > registrySilence
}

// registryRow is the row by which an entry makes itself known.
type registryRow struct {
	Name string    `json:"name"`
	Zone string    `json:"zone"`
	Time time.Time `json:"time"` // for operators; only changes of the row count
}

// registryLoop keeps the entry's own row fresh and follows the others'.
func (e *Entry) registryLoop() {
	e.poll(registryInterval, func() {
		e.writeRegistry()
		e.readRegistry()
	})
}

func (e *Entry) writeRegistry() {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(registryRow{Name: e.cfg.Name, Zone: e.cfg.Zone, Time: clock()})
	if err != nil {
		return
	}
	// The next round repeats a write that failed.
	_, _ = e.cfg.Store.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: registryPrefix + e.cfg.Control.String(), Value: value}},
	})
}

func (e *Entry) readRegistry() {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	rows, err := e.cfg.Store.Scan(ctx, registryPrefix)
	if err != nil {
		return
	}
	now := clock()
	fresh := e.noteEntries(rows, now)
	e.dropRows(ctx, rows, now)
	if !fresh {
		return
	}
	entries := e.entries()
	e.pool.Broadcast(func(string) wire.Message { return &wire.Peers{Entries: entries} })
}

// noteEntries updates the known entries and reports whether any is new.
func (e *Entry) noteEntries(rows []platform.Row, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	fresh := false
	for _, row := range rows {
		addr := rowAddress(row)
		if !addr.IsValid() || addr == e.cfg.Control {
			continue
		}
		k, ok := e.known[addr]
		if !ok {
			k = &knownEntry{}
			e.known[addr] = k
			fresh = true
		}
		if k.revision != row.Revision {
			k.revision, k.changed = row.Revision, now
		}
	}
	return fresh
}

// dropRows deletes the rows of entries that have been gone for long.
func (e *Entry) dropRows(ctx context.Context, rows []platform.Row, now time.Time) {
	for _, row := range rows {
		e.mu.Lock()
		k := e.known[rowAddress(row)]
		old := k != nil && k.silent(now.Add(registrySilence-registryLifetime))
		e.mu.Unlock()
		if !old {
			continue
		}
		// A row that has changed since is that of an entry that came back.
		_, _ = e.cfg.Store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: row.Key, Revision: row.Revision}},
			Writes:     []platform.Write{{Key: row.Key, Delete: true}},
		})
	}
}

// rowAddress returns the control address in a row's key, invalid if there is
// none.
func rowAddress(row platform.Row) netip.AddrPort {
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(row.Key, registryPrefix))
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

// entries returns the control addresses of the other entries and of this one.
func (e *Entry) entries() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock()
	addrs := []netip.AddrPort{e.cfg.Control}
	for addr, k := range e.known {
		if !k.silent(now) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
