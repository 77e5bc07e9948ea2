package caller

import (
	"errors"
	"testing"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// TestConfigAgeLimitFollowsRevocationLimit admits requests while the configuration
// is as old as it becomes between two polls, and refuses them before the
// revocation limit is over.
func TestConfigAgeLimitFollowsRevocationLimit(t *testing.T) {
	tests := map[string]time.Duration{
		"usual":         5 * time.Second,
		"short":         time.Second,
		"shorter":       200 * time.Millisecond,
		"long":          time.Minute,
		"not specified": 0,
	}
	for name, limit := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			catalog := &Catalog{current: &job.Catalog{
				Queues: []job.Queue{{Name: "q", Prefix: "/q/"}}, Customers: map[string]string{job.TokenDigest("token"): "c"},
			}}
			health := platform.NewHealth(platform.Store{}, zerolog.Nop(), prometheus.NewRegistry())
			a := NewAdmissionController(catalog, health, limit)
			admit := func(age time.Duration) error {
				catalog.confirmed = platform.BootTime() - age
				_, err := a.Admit("", "/q/job", "token")
				return err
			}
			is.NoErr(admit(PollWait(limit, 0)))
			var stale *StaleConfigError
			if limit > 0 {
				is.True(errors.As(admit(limit), &stale))
			} else {
				is.NoErr(admit(time.Hour))
			}
		})
	}
}
