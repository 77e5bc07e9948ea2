package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// Keys of the rows that apply to the whole deployment.
const (
	ConfigKey = "configuration"
	PlanKey   = "plan"
)

// ConfigRow is the published configuration.
type ConfigRow struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Base    string    `json:"base"`
	Overlay string    `json:"overlay"`
}

// Parse parses and validates the configuration.
func (r ConfigRow) Parse() (*config.Config, error) {
	return config.Parse(r.Sources()...)
}

// Sources returns the base file and the overlay.
func (r ConfigRow) Sources() []config.Source {
	return []config.Source{
		{Name: "base", Text: []byte(r.Base)},
		{Name: "overlay", Text: []byte(r.Overlay)},
	}
}

// ConfigConflictError reports to an operator that another configuration was
// published first.
type ConfigConflictError struct {
	Version uint64
	Author  string
	Time    time.Time
}

// Error names the published configuration.
func (e *ConfigConflictError) Error() string {
	return fmt.Sprintf("version %d by %s at %s came first", e.Version, e.Author, e.Time.Format(time.RFC3339))
}

// LoadConfig reads the configuration row; version 0 means that there is none.
func LoadConfig(ctx context.Context, s Store) (ConfigRow, uint64, error) {
	return loadRow[ConfigRow](ctx, s, ConfigKey)
}

// LoadPlan reads the plan row; version 0 means that there is none.
func LoadPlan(ctx context.Context, s Store) (plan.Plan, uint64, error) {
	return loadRow[plan.Plan](ctx, s, PlanKey)
}

func loadRow[T any](ctx context.Context, s Store, key string) (value T, revision uint64, err error) {
	row, err := s.Get(ctx, key)
	if err != nil || row.Revision == 0 {
		return value, 0, err
	}
	err = json.Unmarshal(row.Value, &value)
	return value, row.Revision, err
}

// Publish makes row the configuration in force if the current version is base, and
// sets its version. If the reply to the write is lost, Publish reads the row to
// find out whether it took effect. Errors: *ConfigConflictError,
// *UnavailableError.
func Publish(ctx context.Context, s Store, base uint64, row ConfigRow) (uint64, error) {
	present, revision, err := LoadConfig(ctx, s)
	if err != nil {
		return 0, err
	}
	if present.Version != base {
		return 0, &ConfigConflictError{Version: present.Version, Author: present.Author, Time: present.Time}
	}
	row.Version = base + 1
	err = putRow(ctx, s, ConfigKey, revision, row)
	var conflict *ConflictError
	var unavailable *UnavailableError
	if errors.As(err, &conflict) || errors.As(err, &unavailable) && unavailable.MaybeApplied {
		return verifyPublished(ctx, s, row, err)
	}
	return row.Version, err
}

// verifyPublished reads which configuration is in force after a write that may or
// may not have taken effect. It returns cause if the store does not answer or still
// has an older version.
func verifyPublished(ctx context.Context, s Store, row ConfigRow, cause error) (uint64, error) {
	current, _, err := LoadConfig(ctx, s)
	switch {
	case err != nil:
		return 0, cause
	case current.Version < row.Version:
		return 0, cause
	case current.Version == row.Version && current.Author == row.Author && current.Time.Equal(row.Time):
		return row.Version, nil
	default:
		return 0, &ConfigConflictError{Version: current.Version, Author: current.Author, Time: current.Time}
	}
}

// StorePlan replaces the plan if its row has the given revision. Errors:
// *ConflictError, *UnavailableError.
func StorePlan(ctx context.Context, s Store, revision uint64, p *plan.Plan) error {
	return putRow(ctx, s, PlanKey, revision, p)
}

func putRow(ctx context.Context, s Store, key string, revision uint64, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = s.Commit(ctx, Txn{
		Conditions: []Condition{{Key: key, Revision: revision}},
		Writes:     []Write{{Key: key, Value: data}},
	})
	return err
}

// ConfigCache holds the latest configuration and plan that a process has received
// from the store or from a peer. It ignores older versions.
type ConfigCache struct {
	mu           sync.Mutex
	row          ConfigRow
	cfg          *config.Config
	plan         *plan.Plan
	highestKnown uint64 // highest configuration version known to exist
	configData   []byte
	planData     []byte
}

// Config returns the configuration in force and its version; nil if there is none
// yet.
func (c *ConfigCache) Config() (*config.Config, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg, c.row.Version
}

// Row returns the configuration row in force.
func (c *ConfigCache) Row() ConfigRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.row
}

// Plan returns the plan in force; nil if there is none yet.
func (c *ConfigCache) Plan() *plan.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan
}

// NoteVersion records that a configuration version exists.
func (c *ConfigCache) NoteVersion(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestKnown = max(c.highestKnown, version)
}

// Behind reports whether a newer configuration than the cached one is known to
// exist.
func (c *ConfigCache) Behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highestKnown > c.row.Version
}

// UpdateConfig replaces the configuration if row is newer, and reports whether it
// did.
func (c *ConfigCache) UpdateConfig(row ConfigRow) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Version <= c.row.Version {
		return false, nil
	}
	cfg, err := row.Parse()
	if err != nil {
		return false, err
	}
	data, err := json.Marshal(row)
	if err != nil {
		return false, err
	}
	c.row, c.cfg, c.configData = row, cfg, data
	return true, nil
}

// UpdatePlan replaces the plan if p is newer, and reports whether it did.
func (c *ConfigCache) UpdatePlan(p plan.Plan) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plan != nil && p.Version <= c.plan.Version || p.Version == 0 {
		return false, nil
	}
	data, err := json.Marshal(p)
	if err != nil {
		return false, err
	}
	c.plan, c.planData = &p, data
	return true, nil
}

// UpdateEncoded is UpdateConfig and UpdatePlan for rows in their stored form, as
// received from a peer. Empty data is skipped.
func (c *ConfigCache) UpdateEncoded(configData, planData []byte) (newConfig, newPlan bool, err error) {
	if len(configData) > 0 {
		var row ConfigRow
		if err := json.Unmarshal(configData, &row); err != nil {
			return false, false, err
		}
		if newConfig, err = c.UpdateConfig(row); err != nil {
			return false, false, err
		}
	}
	if len(planData) > 0 {
		var p plan.Plan
		if err := json.Unmarshal(planData, &p); err != nil {
			return newConfig, false, err
		}
		newPlan, err = c.UpdatePlan(p)
	}
	return newConfig, newPlan, err
}

// EncodedNewerThan returns the rows that are newer than the given versions, in
// their stored form, and the versions in force.
func (c *ConfigCache) EncodedNewerThan(configVersion, planVersion uint64) (configData, planData []byte, currentConfig, currentPlan uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	currentConfig = c.row.Version
	if currentConfig > configVersion {
		configData = c.configData
	}
	if c.plan != nil {
		currentPlan = c.plan.Version
	}
	if currentPlan > planVersion {
		planData = c.planData
	}
	return configData, planData, currentConfig, currentPlan
}
