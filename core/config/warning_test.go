package config

import (
	"testing"

	"github.com/matryer/is"
)

// TestWarnings guards against entries without effect that pass unnoticed, and against
// warnings about configurations that are as intended ("" expects none).
func TestWarnings(t *testing.T) {
	const otherDigest = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	for name, c := range map[string]struct{ overlay, warning string }{
		"none":                   {"", ""},
		"shadowed section":       {"[service  s]\nshape = one\nrepeatable = true\n", "overlay:1: service  s: has the same name as the section at base:15, with which it is not merged"},
		"shadowed operator":      {"[operator a]\ntoken_sha256 = " + otherDigest + "\n[operator b]\ntoken_sha256 = " + otherDigest + "\n", `overlay:4: operator b.token_sha256: token is also that of operator "a", who is found first`},
		"customer queue":         {"[limits]\nqueue_length = 10\ncustomer_queue = 11\n", "overlay:3: limits.customer_queue: customer_queue of 11 is above queue_length of 10, so it is never reached"},
		"default customer queue": {"[limits]\nqueue_length = 10\n", "overlay:2: limits.queue_length: customer_queue of 4000 is above queue_length of 10, so it is never reached"},
		"equal queues":           {"[limits]\nqueue_length = 10\ncustomer_queue = 10\n", ""},
		"no ejection":            {"[limits]\neject_percent = 33\n", "overlay:2: limits.eject_percent: 33% of 3 workers is less than one worker, so none is ever ejected"},
		"ejection":               {"[limits]\neject_percent = 34\n", ""},
		"ejection off":           {"[limits]\neject_percent = 0\n", ""},
		"same rack":              {"[shape one]\nsame_rack = true\n", "overlay:2: shape one.same_rack: has no effect on a shape of one worker"},
		"rack without use":       {"[rack cpu]\nzone = z\nworkers = 1\nslots = 1\naccelerators = 0\n", "overlay:1: rack cpu: the shape of no enabled service fits on its workers"},
		"rack too short":         {"[shape one]\nworkers = 2\nsame_rack = true\n[guarantee a one]\ncount = 1\n[rack one]\nzone = z\nworkers = 1\nslots = 8\naccelerators = 8\n", "overlay:6: rack one: the shape of no enabled service fits on its workers"},
		"timeout":                {"[limits]\nmax_timeout = 4s\n", "base:18: service s.timeout: timeout of 5s is above the max_timeout of 4s that callers may request"},
		"run time":               {"[service s]\nrun_time = 6s\n", "overlay:2: service s.run_time: run_time of 6s is above the timeout of 5s, so requests that set none end before they are done"},
		"service too large":      {"[customer a]\nquota = 2\n[shape big]\naccelerators = 3\n[service b]\nshape = big\nrepeatable = true\n", `overlay:6: service b.shape: no customer can use the service: shape "big" needs 3 accelerators, which is above the quota of every enabled customer`},
		"service for another":    {"[customer a]\nquota = 2\n[customer b]\ntoken_sha256 = " + otherDigest + "\n[shape big]\naccelerators = 3\n[service b]\nshape = big\nrepeatable = true\n", ""},
		"service disabled":       {"[limits]\nmax_timeout = 4s\n[service s]\ndisabled = true\n[guarantee a one]\ndisabled = true\n", ""},
		"no customer":            {"[customer a]\ndisabled = true\n[guarantee a one]\ndisabled = true\n", "base:16: service s.shape: no customer can use the service: no customer is enabled"},
		"guarantee of disabled":  {"[customer a]\ndisabled = true\n[customer b]\ntoken_sha256 = " + otherDigest + "\n", `base:13: guarantee a one: customer "a" is disabled, so nothing is reserved`},
		"guarantee without use":  {"[shape big]\naccelerators = 3\n[service s]\nshape = big\n", `base:13: guarantee a one: no enabled service has a shape that fits into "one", so the reserved workers are never used for it`},
		"guarantee for others":   {"[shape big]\naccelerators = 3\n[guarantee a big]\ncount = 1\n", ""},
		"quota below guarantee":  {"[customer a]\nquota = 1\n", "overlay:2: customer a.quota: quota of 1 accelerators is below the 2 that the customer is guaranteed"},
		"default ejection":       {"[limits]\nattempts = 2\n[rack r]\nworkers = 2\n", ""},
		"guarantee of none":      {"[customer a]\ndisabled = true\n[guarantee a one]\ncount = 0\n[customer b]\ntoken_sha256 = " + otherDigest + "\n", ""},
		"guarantee too small":    {"[shape two]\nworkers = 2\naccelerators = 1\n[service s]\nshape = two\n", `base:13: guarantee a one: no enabled service has a shape that fits into "one", so the reserved workers are never used for it`},
		"quota of all workers":   {"[customer a]\nquota = 3\n[shape one]\nworkers = 2\n", "overlay:2: customer a.quota: quota of 3 accelerators is below the 4 that the customer is guaranteed"},
		"sorted by line":         {"[customer a]\nquota = 1\n[limits]\nqueue_length = 10\n", "overlay:2: customer a.quota: quota of 1 accelerators is below the 2 that the customer is guaranteed\noverlay:4: limits.queue_length: customer_queue of 4000 is above queue_length of 10, so it is never reached"},
		"quota below services":   {"[customer b]\ntoken_sha256 = " + otherDigest + "\nquota = 2\n[shape one]\naccelerators = 3\n", "overlay:3: customer b.quota: quota of 2 accelerators is below what each enabled service needs"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sources := []Source{{Name: "base", Text: []byte(validConfig)}, {Name: "overlay", Text: []byte(c.overlay)}}
			cfg, err := Parse(sources...)
			is.NoErr(err)
			is.Equal((&FaultsError{Faults: Warnings(cfg, sources...)}).Error(), c.warning)
		})
	}
}
