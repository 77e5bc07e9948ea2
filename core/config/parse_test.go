package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testDigest = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const validConfig = `[deployment]
name = test
[rack r]
zone = z
workers = 3
slots = 8
accelerators = 8
[customer a]
token_sha256 = ` + testDigest + `
weight = 2
[shape one]
accelerators = 1
[guarantee a one]
count = 2
[service s]
shape = one
repeatable = true
timeout = 5s
`

func TestOverlayReplacesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	cfg, err := Parse(
		Source{Name: "base", Text: []byte(validConfig)},
		Source{Name: "overlay", Text: []byte("[service s]\ntimeout = 7s\n[limits]\nattempts = 2\n")},
	)
	is.NoErr(err)
	is.Equal(cfg.Service("s").Timeout, 7*time.Second)
	is.Equal(cfg.Service("s").Shape, "one")
	is.Equal(cfg.Customer("a").Weight, 2)
	is.Equal(cfg.Limits.Attempts, 2)
	is.Equal(cfg.Limits.QueueLength, DefaultLimits().QueueLength)
}

func TestParseReportsFaultLocation(t *testing.T) {
	for name, c := range map[string]struct {
		overlay string
		fault   string // as printed
	}{
		"unknown section":   {"[servise s]\n", "overlay:1: servise s: unknown section"},
		"unknown key":       {"[service s]\n\ntimout = 5s\n", "overlay:3: service s.timout: unknown key"},
		"time without unit": {"[service s]\ntimeout = 5\n", `overlay:2: service s.timeout: "5" is not a time with a unit, such as 500ms, 30s or 2h`},
		"wrong unit":        {"[service s]\ntimeout = 5MiB\n", `overlay:2: service s.timeout: "5MiB" is not a time with a unit, such as 500ms, 30s or 2h`},
		"size without unit": {"[limits]\nrequest_body = 4096\n", `overlay:2: limits.request_body: "4096" is not a size with a unit, such as 64KiB or 4MiB`},
		"not a number":      {"[customer a]\nweight = heavy\n", `overlay:2: customer a.weight: "heavy" is not a whole number`},
		"out of range":      {"[customer a]\nweight = 0\n", `overlay:2: customer a.weight: "0" is not between 1 and 1000`},
		"not a boolean":     {"[service s]\nrepeatable = yes\n", `overlay:2: service s.repeatable: "yes" is neither true nor false`},
		"duplicate section": {"[shape two]\naccelerators = 2\n[shape two]\nslots = 3\n", "overlay:3: shape two: duplicate of line 1"},
		"duplicate key":     {"[customer a]\nweight = 1\nweight = 2\n", "overlay:3: customer a.weight: duplicate of line 2"},
		"no such shape":     {"[service s]\nshape = three\n", `overlay:2: service s.shape: no shape "three"`},
		"no such customer":  {"[guarantee b one]\ncount = 1\n", `overlay:1: guarantee b one: no customer "b"`},
		"bad name":          {"[shape Big]\naccelerators = 2\n", `overlay:1: shape Big: name "Big" is not 1 to 64 of a-z, 0-9, '-', '_' and '.'`},
		"missing key":       {"[service t]\nshape = one\n", "overlay:1: service t.repeatable: missing"},
		"shared token":      {"[customer b]\ntoken_sha256 = " + testDigest + "\n", `overlay:2: customer b.token_sha256: token is also that of customer "a"`},
		"bad digest":        {"[customer a]\ntoken_sha256 = abc\n", `overlay:2: customer a.token_sha256: "abc" is not a SHA-256 digest of 64 hexadecimal digits`},
		"shape too large":   {"[shape one]\nworkers = 4\n", `base:16: service s.shape: shape "one" fits on no racks`},
		"outside a section": {"weight = 1\n", "overlay:1: weight: key outside a section"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(Source{Name: "base", Text: []byte(validConfig)}, Source{Name: "overlay", Text: []byte(c.overlay)})
			var faults *FaultsError
			is.True(errors.As(err, &faults))
			is.Equal(faults.Error(), c.fault)
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := Parse(Source{Name: "base", Text: []byte(validConfig)}, Source{Name: "overlay",
		Text: []byte("[limits]\nattempts = x\n[nothing]\n[service s]\ntimeout = 1\ncolour = red\n")})
	var faults *FaultsError
	is.True(errors.As(err, &faults))
	is.Equal(len(faults.Faults), 4)
	is.True(strings.HasPrefix(faults.Faults[0].String(), "overlay:2: "))
}

func TestParseSettingsReportsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		fault string
	}{
		"missing for the role": {"[process]\nhttp = 127.0.0.1:1\n", "f:1: upstream.agent: missing for role upstream"},
		"bad address":          {"[process]\nhttp = here\n", `f:2: process.http: "here" is not an address such as 10.0.0.7:9000`},
		"memory too small":     {"[limits]\nmemory = 1MiB\n", `f:2: limits.memory: "1MiB" is not between 64 MiB and 1.0 TiB`},
		"too few descriptors":  {"[limits]\nfiles = 10\n", `f:2: limits.files: "10" is not between 264 and 1000000`},
		"short key":            {"[security]\nkey = 00ff\n", `f:2: security.key: "key" is not at least 32 hexadecimal digits`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseSettings(RoleUpstream, Source{Name: "f", Text: []byte(c.text)})
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.fault))
		})
	}
}
