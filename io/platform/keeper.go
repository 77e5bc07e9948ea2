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

// Keys of the rows that are in force for the whole deployment.
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

// Parse checks the configuration of the row.
func (r ConfigRow) Parse() (*config.Config, error) {
	return config.Parse(
		config.Source{Name: "base", Text: []byte(r.Base)},
		config.Source{Name: "overlay", Text: []byte(r.Overlay)},
	)
}

// ConfigConflictError tells an operator that somebody else's configuration came first.
type ConfigConflictError struct {
	Version uint64
	Author  string
	Time    time.Time
}

// Error names the configuration that is in force.
func (e *ConfigConflictError) Error() string {
	return fmt.Sprintf("version %d by %s at %s came first", e.Version, e.Author, e.Time.Format(time.RFC3339))
}

// LoadConfig reads the configuration row; version 0 means that there is none.
func LoadConfig(ctx context.Context, s Store) (ConfigRow, uint64, error) {
	return load[ConfigRow](ctx, s, ConfigKey)
}

// LoadPlan reads the plan row; version 0 means that there is none.
func LoadPlan(ctx context.Context, s Store) (plan.Plan, uint64, error) {
	return load[plan.Plan](ctx, s, PlanKey)
}

func load[T any](ctx context.Context, s Store, key string) (value T, revision uint64, err error) {
	row, err := s.Get(ctx, key)
	if err != nil || row.Revision == 0 {
		return value, 0, err
	}
	err = json.Unmarshal(row.Value, &value)
	return value, row.Revision, err
}

// Publish makes row the configuration in force if the present version is still
// base. It sets the row's version. A write whose reply was lost is read back.
// Errors: *RaceError, *UnavailableError.
func Publish(ctx context.Context, s Store, base uint64, row ConfigRow) (uint64, error) {
	present, revision, err := LoadConfig(ctx, s)
	if err != nil {
		return 0, err
	}
	if present.Version != base {
		return 0, &ConfigConflictError{Version: present.Version, Author: present.Author, Time: present.Time}
	}
	row.Version = base + 1
	err = put(ctx, s, ConfigKey, revision, row)
	var conflict *ConflictError
	var unavailable *UnavailableError
	if errors.As(err, &conflict) || errors.As(err, &unavailable) && unavailable.MaybeApplied {
		return readBack(ctx, s, row, err)
	}
	return row.Version, err
}

// readBack finds out whose configuration is in force after a write that may or
// may not have taken effect.
func readBack(ctx context.Context, s Store, row ConfigRow, cause error) (uint64, error) {
	now, _, err := LoadConfig(ctx, s)
	switch {
	case err != nil:
		return 0, cause
	case now.Version < row.Version:
		return 0, cause
	case now.Version == row.Version && now.Author == row.Author && now.Time.Equal(row.Time):
		return row.Version, nil
	default:
		return 0, &ConfigConflictError{Version: now.Version, Author: now.Author, Time: now.Time}
	}
}

// StorePlan replaces the plan that has the given revision. Errors:
// *ConflictError, *UnavailableError.
func StorePlan(ctx context.Context, s Store, revision uint64, p *plan.Plan) error {
	return put(ctx, s, PlanKey, revision, p)
}

func put(ctx context.Context, s Store, key string, revision uint64, v any) error {
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

// ConfigCache holds the newest configuration and plan that a process has seen,
// whether from the store or from a peer. Versions only grow.
type ConfigCache struct {
	mu         sync.Mutex
	row        ConfigRow
	cfg        *config.Config
	plan       *plan.Plan
	claimed    uint64 // highest configuration version that anyone has named
	configData []byte
	planData   []byte
}

// Config returns the configuration in force and its version; nil before the
// first.
func (k *ConfigCache) Config() (*config.Config, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg, k.row.Version
}

// Row returns the configuration row in force.
func (k *ConfigCache) Row() ConfigRow {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.row
}

// Plan returns the plan in force; nil before the first.
func (k *ConfigCache) Plan() *plan.Plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.plan
}

// NoteVersion notes that a configuration version exists somewhere.
func (k *ConfigCache) NoteVersion(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.claimed = max(k.claimed, version)
}

// Behind reports whether a newer configuration than the one in force is known
// to exist.
func (k *ConfigCache) Behind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claimed > k.row.Version
}

// UpdateConfig takes over a configuration row if it is newer, and reports
// whether it did.
func (k *ConfigCache) UpdateConfig(row ConfigRow) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Version <= k.row.Version {
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
	k.row, k.cfg, k.configData = row, cfg, data
	return true, nil
}

// UpdatePlan takes over a plan if it is newer, and reports whether it did.
func (k *ConfigCache) UpdatePlan(p plan.Plan) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.plan != nil && p.Version <= k.plan.Version || p.Version == 0 {
		return false, nil
	}
	data, err := json.Marshal(p)
	if err != nil {
		return false, err
	}
	k.plan, k.planData = &p, data
	return true, nil
}

// UpdateEncoded takes over rows in their stored form, as a peer sends them. It
// reports what has changed.
func (k *ConfigCache) UpdateEncoded(configData, planData []byte) (newConfig, newPlan bool, err error) {
	if len(configData) > 0 {
		var row ConfigRow
		if err := json.Unmarshal(configData, &row); err != nil {
			return false, false, err
		}
		if newConfig, err = k.UpdateConfig(row); err != nil {
			return false, false, err
		}
	}
	if len(planData) > 0 {
		var p plan.Plan
		if err := json.Unmarshal(planData, &p); err != nil {
			return newConfig, false, err
		}
		newPlan, err = k.UpdatePlan(p)
	}
	return newConfig, newPlan, err
}

// EncodedNewerThan returns the stored form of the rows that are newer than the versions
// given, and the versions in force.
func (k *ConfigCache) EncodedNewerThan(configVersion, planVersion uint64) (configData, planData []byte, configNow, planNow uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	configNow = k.row.Version
	if configNow > configVersion {
		configData = k.configData
	}
	if k.plan != nil {
		planNow = k.plan.Version
	}
	if planNow > planVersion {
		planData = k.planData
	}
	return configData, planData, configNow, planNow
}
