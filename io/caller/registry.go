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

// Timing and key prefix of the rows by which entries discover each other.
const (
	registryInterval = 5 * time.Second
	registryTimeout  = 30 * time.Second // an entry whose row has not changed for so long is expired
	registryLifetime = 10 * time.Minute // age at which the row of an expired entry is deleted
	registryPrefix   = "entry/"
)

// knownEntry is the registry state of another entry. changed is the local time
// at which its row was last seen to change, so clock skew does not matter.
type knownEntry struct {
	revision uint64
	changed  time.Time
	seed     bool // named in the settings; never expires
}

// expired reports whether the entry is presumed to be gone.
func (k *knownEntry) expired(now time.Time) bool {
	return !k.seed && now.Sub(k.changed) > registryTimeout
}

// registryRow is the JSON value of an entry's registry row.
type registryRow struct {
	Name string    `json:"name"`
	Zone string    `json:"zone"`
	Time time.Time `json:"time"` // for operators; expiry goes by changes of the row
}

// registryLoop refreshes the entry's own row and reads those of the others.
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
	// A failed write is repeated in the next round.
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
	added := e.updateEntries(rows, now)
	e.deleteExpiredRows(ctx, rows, now)
	if !added {
		return
	}
	entries := e.liveEntries()
	e.pool.Broadcast(func(string) wire.Message { return &wire.Peers{Entries: entries} })
}

// updateEntries updates the known entries from their rows, and reports whether
// any is new.
func (e *Entry) updateEntries(rows []platform.Row, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	added := false
	for _, row := range rows {
		addr := rowAddress(row)
		if !addr.IsValid() || addr == e.cfg.Control {
			continue
		}
		k, ok := e.knownEntries[addr]
		if !ok {
			k = &knownEntry{}
			e.knownEntries[addr] = k
			added = true
		}
		if k.revision != row.Revision {
			k.revision, k.changed = row.Revision, now
		}
	}
	return added
}

// deleteExpiredRows deletes the rows that have not changed for registryLifetime,
// except those of seeds.
func (e *Entry) deleteExpiredRows(ctx context.Context, rows []platform.Row, now time.Time) {
	for _, row := range rows {
		e.mu.Lock()
		k := e.knownEntries[rowAddress(row)]
		isOld := k != nil && k.expired(now.Add(registryTimeout-registryLifetime))
		e.mu.Unlock()
		if !isOld {
			continue
		}
		// The condition spares the row of an entry that has come back since.
		_, _ = e.cfg.Store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: row.Key, Revision: row.Revision}},
			Writes:     []platform.Write{{Key: row.Key, Delete: true}},
		})
	}
}

// rowAddress returns the control address in a row's key, or an invalid address if
// there is none.
func rowAddress(row platform.Row) netip.AddrPort {
	addr, err := netip.ParseAddrPort(strings.TrimPrefix(row.Key, registryPrefix))
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

// liveEntries returns the control addresses of this entry, which comes first, and
// of the other entries that have not expired.
func (e *Entry) liveEntries() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock()
	addrs := []netip.AddrPort{e.cfg.Control}
	for addr, k := range e.knownEntries {
		if !k.expired(now) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
