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
// of their row's value, or are taken for others, and against a store that does not
// answer and counts as one without evacuations.
func TestEvacuatedZones(t *testing.T) {
	const lost = "lost history"
	tests := map[string]struct {
		answers []string // changed keys, those that begin with - deleted; the first answer is to a read of all rows
		zones   []string
		event   string // logged once
	}{
		"no answer":                       {},
		"unreadable value":                {answers: []string{"evacuate/a"}, zones: []string{"a"}, event: "zone_evacuated"},
		"change":                          {answers: []string{"", "evacuate/a"}, zones: []string{"a"}, event: "zone_evacuated"},
		"deletion":                        {answers: []string{"evacuate/a evacuate/b", "-evacuate/a -evacuate/c"}, zones: []string{"b"}, event: "zone_restored"},
		"evacuated again at once":         {answers: []string{"evacuate/a", "-evacuate/a evacuate/a"}, zones: []string{"a"}, event: "zone_evacuated"},
		"deletion missed by lost history": {answers: []string{"evacuate/a evacuate/b", lost, "evacuate/b evacuate/c"}, zones: []string{"b", "c"}, event: "zone_restored"},
		"empty zone":                      {answers: []string{"evacuate/", "evacuate/", lost, "evacuate/"}, event: "evacuation_without_zone"},
		"other rows":                      {answers: []string{"config evacuated/a evacuate"}},
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
				calls++
				is.Equal(after == 0, calls == 1 || tt.answers[calls-2] == lost) // all rows are read after a lost history
				if tt.answers[calls-1] == lost {
					return platform.Changes{}, &platform.HistoryLostError{Table: "op", After: after}
				}
				c := platform.Changes{Revision: uint64(calls)}
				for _, key := range strings.Fields(tt.answers[calls-1]) {
					key, deleted := strings.CutPrefix(key, "-")
					c.Rows = append(c.Rows, platform.Row{Key: "op/" + key, Value: []byte("\xff{"), Deleted: deleted})
				}
				return c, nil
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
			is.Equal(ev.Read, len(tt.answers) > 0)
			is.Equal(slices.Sorted(maps.Keys(ev.Zones)), tt.zones)
			if tt.event != "" {
				is.Equal(strings.Count(log.String(), `"message":"`+tt.event+`"`), 1)
			}
		})
	}
}

// TestEvacuationStateStaysCurrent guards against a state that counts as newer than the
// store can have known it, against polls so long that a scheduler would place nothing
// although the store answers, and against changed polls where no limit is configured.
func TestEvacuationStateStaysCurrent(t *testing.T) {
	is := is.New(t)
	const sent, wait, limit = time.Hour, time.Second, 5 * time.Second
	row := platform.Changes{Rows: []platform.Row{{Key: "op/config"}}}
	is.Equal(row.ConfirmedAt(wait, sent, sent+wait), sent)                             // change at the end of a poll
	is.Equal(platform.Changes{}.ConfirmedAt(0, sent, sent+10*wait), sent)              // late answer without a wait
	is.Equal(platform.Changes{}.ConfirmedAt(wait, sent, sent+10*wait), sent+wait*9/10) // late answer after a full poll

	health := platform.NewHealth(platform.Store{}, zerolog.Nop(), prometheus.NewRegistry())
	maxAge := job.MaxEvacuationAge(limit)
	c := &Catalog{cfg: CatalogConfig{Health: health, PollWait: PollWait(0, limit), EvacuationLimit: limit}}
	is.True(2*c.cfg.PollWait < maxAge) // if a change is read at the end of a poll
	for response := time.Duration(0); response <= maxAge*2/5; response += 50 * time.Millisecond {
		wait := c.pollWait(response)
		confirmed := platform.Changes{}.ConfirmedAt(wait, 0, wait+response)
		is.True(wait+response-confirmed+wait+response <= maxAge) // until the next answer
	}
	c = &Catalog{cfg: CatalogConfig{Health: health, PollWait: PollWait(5*time.Second, 0)}}
	is.Equal(c.pollWait(time.Second), maxPollWait)
}
