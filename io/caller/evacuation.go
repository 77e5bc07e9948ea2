package caller

import (
	"maps"
	"math"
	"slices"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"

	"github.com/prometheus/client_golang/prometheus"
)

// evacuatedZones is the set of evacuated zones as stored in the catalog's table. A row
// counts by its key, so that one with an unreadable value evacuates too.
type evacuatedZones struct {
	read      bool
	confirmed time.Duration        // boot time as of which the set is current
	zones     map[string]time.Time // when this process learned of each; replaced when it changes
	nameless  bool                 // there is a row whose key names no zone
}

// Evacuation returns the evacuated zones and how current they are.
func (c *Catalog) Evacuation() job.Evacuation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.static {
		return job.Evacuation{Read: true}
	}
	v := &c.evacuated
	return job.Evacuation{Read: v.read, Zones: v.zones, Age: platform.BootTime() - v.confirmed}
}

// applyEvacuations applies changed rows, or replaces the set if whole is set, so that
// a deletion in a lost part of the history is noticed. The caller holds mu.
func (c *Catalog) applyEvacuations(rows []platform.Row, whole bool, confirmed time.Duration) {
	v := &c.evacuated
	next, nameless := maps.Clone(v.zones), v.nameless
	if whole || next == nil {
		next, nameless = make(map[string]time.Time), false
	}
	if c.cfg.EvacuatedZone != nil {
		for _, row := range rows {
			zone, ok := c.cfg.EvacuatedZone(row.Key)
			switch {
			case !ok:
			case zone == "":
				nameless = !row.Deleted
			case row.Deleted:
				delete(next, zone)
			default:
				next[zone] = time.Now()
			}
		}
	}
	v.read, v.confirmed = true, max(v.confirmed, confirmed)
	if nameless && !v.nameless {
		c.cfg.Log.Warn().Msg("evacuation_without_zone")
	}
	v.nameless = nameless
	c.replaceZones(next)
}

// replaceZones logs the changes of the set and installs it. The caller holds mu.
func (c *Catalog) replaceZones(next map[string]time.Time) {
	v := &c.evacuated
	age := platform.BootTime() - v.confirmed
	changed := false
	for _, zone := range slices.Sorted(maps.Keys(next)) {
		if since, known := v.zones[zone]; known {
			next[zone] = since
			continue
		}
		changed = true
		c.cfg.Log.Info().Str("zone", zone).Dur("age", age).Msg("zone_evacuated")
	}
	for _, zone := range slices.Sorted(maps.Keys(v.zones)) {
		if _, ok := next[zone]; ok {
			continue
		}
		changed = true
		c.cfg.Log.Info().Str("zone", zone).Dur("age", age).Dur("evacuated_for", time.Since(v.zones[zone])).Msg("zone_restored")
	}
	if changed {
		v.zones = next
	}
}

// registerEvacuationMetrics registers the metrics of the evacuated zones.
func registerEvacuationMetrics(r prometheus.Registerer, c *Catalog) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bramleythread_evacuated_zones",
		Help: "Evacuated availability zones.",
	}, func() float64 { return float64(len(c.Evacuation().Zones)) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bramleythread_evacuation_state_age_seconds",
		Help: "Time since the evacuated zones were known to be current; infinite before they are read.",
	}, func() float64 {
		ev := c.Evacuation()
		if !ev.Read {
			return math.Inf(1)
		}
		return ev.Age.Seconds()
	}))
}
