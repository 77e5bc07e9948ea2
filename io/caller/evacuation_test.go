package caller

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// TestEvacuatedZones follows a table of evacuations through the answers of a store. It
// guards against zones that stay evacuated after their row is gone, are missed because
// of their row's value, or are taken for others.
func TestEvacuatedZones(t *testing.T) {
	put := func(key string) platform.Row {
		return platform.Row{Key: "op/" + key, Revision: 1, Value: []byte("\xff{")}
	}
	deleted := func(key string) platform.Row { return platform.Row{Key: "op/" + key, Deleted: true} }
	type answer struct {
		rows []platform.Row
		lost bool // the store has lost the history
	}
	tests := map[string]struct {
		answers []answer // the first one is to a read of all rows
		zones   []string
		logged  map[string]int
	}{
		"unreadable value":                {answers: []answer{{rows: []platform.Row{put("evacuate/a")}}}, zones: []string{"a"}, logged: map[string]int{"zone_evacuated": 1}},
		"change":                          {answers: []answer{{}, {rows: []platform.Row{put("evacuate/a")}}}, zones: []string{"a"}},
		"deletion":                        {answers: []answer{{rows: []platform.Row{put("evacuate/a"), put("evacuate/b")}}, {rows: []platform.Row{deleted("evacuate/a")}}}, zones: []string{"b"}, logged: map[string]int{"zone_restored": 1}},
		"deletion of a zone not known":    {answers: []answer{{}, {rows: []platform.Row{deleted("evacuate/a")}}}, logged: map[string]int{"zone_restored": 0}},
		"evacuated again at once":         {answers: []answer{{rows: []platform.Row{put("evacuate/a")}}, {rows: []platform.Row{deleted("evacuate/a"), put("evacuate/a")}}}, zones: []string{"a"}},
		"deletion missed by lost history": {answers: []answer{{rows: []platform.Row{put("evacuate/a"), put("evacuate/b")}}, {lost: true}, {rows: []platform.Row{put("evacuate/b"), put("evacuate/c")}}}, zones: []string{"b", "c"}},
		"empty zone":                      {answers: []answer{{rows: []platform.Row{put("evacuate/")}}, {rows: []platform.Row{put("evacuate/")}}, {lost: true}, {rows: []platform.Row{put("evacuate/")}}}, logged: map[string]int{"evacuation_without_zone": 1}},
		"other rows":                      {answers: []answer{{rows: []platform.Row{put("config"), put("evacuated/a"), put("evacuate")}}}},
		"zone with a separator":           {answers: []answer{{rows: []platform.Row{put("evacuate/a/b")}}}, zones: []string{"a/b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			applied := make(chan struct{})
			calls := 0
			store := platform.Store{Watch: func(ctx context.Context, _ string, after uint64, _ time.Duration) (platform.Changes, error) {
				if calls == len(tt.answers) {
					close(applied)
					<-ctx.Done()
					return platform.Changes{}, ctx.Err()
				}
				a := tt.answers[calls]
				is.Equal(after == 0, calls == 0 || tt.answers[calls-1].lost) // a lost history is followed by a read of all rows
				calls++
				if a.lost {
					return platform.Changes{}, &platform.HistoryLostError{Table: "op", After: after}
				}
				return platform.Changes{Rows: a.rows, Revision: uint64(calls)}, nil
			}}
			var log bytes.Buffer
			c := WatchCatalog(CatalogConfig{
				Health: platform.NewHealth(store, zerolog.Nop(), prometheus.NewRegistry()), Store: store, Log: zerolog.New(&log), Table: "op", Key: "op/config",
				Decode:        func([]byte) (*job.Catalog, error) { return new(job.Catalog), nil },
				EvacuatedZone: func(key string) (string, bool) { return strings.CutPrefix(key, "op/evacuate/") },
				PollWait:      time.Hour,
			})
			<-applied
			ev := c.Evacuation()
			c.Close()
			is.True(ev.Read)
			is.Equal(slices.Sorted(maps.Keys(ev.Zones)), tt.zones)
			for event, n := range tt.logged {
				is.Equal(strings.Count(log.String(), `"message":"`+event+`"`), n)
			}
		})
	}
}

// TestEvacuationIsNotReadDuringOutage guards against a process that takes a store's
// failure for an empty set.
func TestEvacuationIsNotReadDuringOutage(t *testing.T) {
	is := is.New(t)
	failed := make(chan struct{}, 1000)
	store := platform.Store{Watch: func(context.Context, string, uint64, time.Duration) (platform.Changes, error) {
		failed <- struct{}{}
		return platform.Changes{}, &platform.UnavailableError{Op: "watch"}
	}}
	c := WatchCatalog(CatalogConfig{Health: platform.NewHealth(store, zerolog.Nop(), prometheus.NewRegistry()), Store: store, Log: zerolog.Nop(), Table: "op"})
	defer c.Close()
	<-failed
	<-failed
	is.True(!c.Evacuation().Read)
}

// TestConfirmedAt guards against a state that counts as newer than the store can have
// known it when it answered.
func TestConfirmedAt(t *testing.T) {
	const sent, wait = time.Hour, time.Second
	row := []platform.Row{{Key: "op/config"}}
	tests := map[string]struct {
		rows      []platform.Row
		wait      time.Duration
		took      time.Duration
		confirmed time.Duration
	}{
		"full poll":                     {wait: wait, took: wait, confirmed: sent + wait*9/10},
		"change at the end of a poll":   {rows: row, wait: wait, took: wait, confirmed: sent},
		"answer before the end":         {wait: wait, took: wait / 2, confirmed: sent},
		"late answer without a wait":    {took: 10 * wait, confirmed: sent},
		"late answer after a full poll": {wait: wait, took: 10 * wait, confirmed: sent + wait*9/10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(confirmedAt(platform.Changes{Rows: tt.rows}, tt.wait, sent, sent+tt.took), tt.confirmed)
		})
	}
}

// TestPollWaitKeepsEvacuationCurrent guards against polls after which a scheduler would
// place nothing although the store answers at once.
func TestPollWaitKeepsEvacuationCurrent(t *testing.T) {
	is := is.New(t)
	for _, limit := range []time.Duration{200 * time.Millisecond, 5 * time.Second, time.Minute} {
		is.True(2*PollWait(5*time.Second, limit) < job.MaxEvacuationAge(limit))
	}
	is.Equal(PollWait(5*time.Second, 0), maxPollWait) // as without evacuations
}

// TestSlowStoreKeepsEvacuationCurrent guards against pauses of placement while each
// answer of the store takes up to two fifths of the greatest age, and against changed
// polls where no limit is configured.
func TestSlowStoreKeepsEvacuationCurrent(t *testing.T) {
	is := is.New(t)
	const limit = 5 * time.Second
	health := platform.NewHealth(platform.Store{}, zerolog.Nop(), prometheus.NewRegistry())
	maxAge := job.MaxEvacuationAge(limit)
	c := &Catalog{cfg: CatalogConfig{Health: health, PollWait: PollWait(0, limit), EvacuationLimit: limit}}
	for response := time.Duration(0); response <= maxAge*2/5; response += 50 * time.Millisecond {
		wait := c.pollWait(response)
		confirmed := confirmedAt(platform.Changes{}, wait, 0, wait+response)
		is.True(wait+response-confirmed+wait+response <= maxAge) // until the next answer
	}
	c = &Catalog{cfg: CatalogConfig{Health: health, PollWait: maxPollWait}}
	is.Equal(c.pollWait(time.Second), maxPollWait)
}
