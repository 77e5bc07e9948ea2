package config

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// field parses and stores the value of one key.
type field struct {
	required bool
	set      func(value string) error
}

// ValueError reports why a value is invalid.
type ValueError struct {
	Value  string
	Reason string
}

// Error returns the quoted value followed by the reason.
func (e *ValueError) Error() string { return fmt.Sprintf("%q %s", e.Value, e.Reason) }

func countField(p *int, low, high int) field {
	return field{set: func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return &ValueError{Value: v, Reason: "is not a whole number"}
		}
		if n < low || n > high {
			return &ValueError{Value: v, Reason: fmt.Sprintf("is not between %d and %d", low, high)}
		}
		*p = n
		return nil
	}}
}

func durationField(p *time.Duration, low, high time.Duration) field {
	return field{set: func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return &ValueError{Value: v, Reason: "is not a time with a unit, such as 500ms, 30s or 2h"}
		}
		if d < low || d > high {
			return &ValueError{Value: v, Reason: fmt.Sprintf("is not between %s and %s", low, high)}
		}
		*p = d
		return nil
	}}
}

func bytesField(p *int64, low, high uint64) field {
	return field{set: func(v string) error {
		n, err := humanize.ParseBytes(v)
		if err != nil || strings.Trim(v, "0123456789") == "" {
			return &ValueError{Value: v, Reason: "is not a size with a unit, such as 64KiB or 4MiB"}
		}
		if n < low || n > high {
			return &ValueError{Value: v, Reason: fmt.Sprintf("is not between %s and %s", humanize.IBytes(low), humanize.IBytes(high))}
		}
		*p = int64(n)
		return nil
	}}
}

func boolField(p *bool) field {
	return field{set: func(v string) error {
		switch v {
		case "true":
			*p = true
		case "false":
			*p = false
		default:
			return &ValueError{Value: v, Reason: "is neither true nor false"}
		}
		return nil
	}}
}

func textField(p *string) field {
	return field{set: func(v string) error {
		if v == "" {
			return &ValueError{Value: v, Reason: "is empty"}
		}
		*p = v
		return nil
	}}
}

func priorityField(p *Priority) field {
	return field{set: func(v string) error {
		known := []Priority{Urgent, Normal, Batch}
		if !slices.Contains(known, Priority(v)) {
			return &ValueError{Value: v, Reason: "is none of urgent, normal, batch"}
		}
		*p = Priority(v)
		return nil
	}}
}

func digestsField(p *[]string) field {
	return field{required: true, set: func(v string) error {
		var digests []string
		for _, d := range strings.Split(v, ",") {
			d = strings.ToLower(strings.TrimSpace(d))
			raw, err := hex.DecodeString(d)
			if err != nil || len(raw) != 32 {
				return &ValueError{Value: d, Reason: "is not a SHA-256 digest of 64 hexadecimal digits"}
			}
			digests = append(digests, d)
		}
		*p = digests
		return nil
	}}
}

func requiredField(f field) field {
	f.required = true
	return f
}
